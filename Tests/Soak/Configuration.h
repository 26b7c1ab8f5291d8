/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string>

namespace Soak {

/// What a request of the soak asks for.
enum class CallKind : u8 {
    /// Runs at most once.
    Lookup,
    /// May be repeated.
    Tariff,
    /// Streams events; runs at most once.
    Draft,
};

/// How a route of the soak is configured.
struct RouteSettings {
    CallKind kind { CallKind::Lookup };
    std::string prefix;
    std::string service;
    Duration timeout { 0 };
    /// Tries in all, the first one counted.
    u32 max_dispatches { 1 };
};

RouteSettings const& route_of(CallKind);

inline constexpr auto caller_host = "soak.example";
inline constexpr auto organisation = "plaza";
inline constexpr auto organisation_key = "plaza-key";
inline constexpr auto plain_service = "lanes";
inline constexpr auto engine_service = "models";
/// After which hosts close callers' connections without a request: a few hundred milliseconds, so that their closes
/// cross requests all the time; longer than a caller's usual rest.
inline constexpr Duration idle_timeout = 300ms;

/// The operator's configuration as it grows: each version adds a probe route, and none is taken away.
class Configuration {
public:
    /// One more version; answers its number.
    u64 add_version();
    [[nodiscard]] u64 version() const { return this->current; }
    /// As the platform's store keeps it, in JSON.
    [[nodiscard]] std::string text() const;

    /// A path on the route that was added by `version`.
    static std::string probe_path(u64 version);

private:
    u64 current { 0 };
};

}
