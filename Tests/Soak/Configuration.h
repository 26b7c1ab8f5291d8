/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string>

namespace Soak {

/// The kind of a request of the soak.
enum class CallKind : u8 {
    /// Runs at most once.
    Lookup,
    /// May be repeated.
    Tariff,
    /// Streams events; runs at most once.
    Draft,
};

/// Configuration of a route of the soak.
struct RouteSettings {
    CallKind kind { CallKind::Lookup };
    std::string prefix;
    std::string service;
    Duration timeout { 0 };
    /// Total dispatches of a request, including the first one.
    u32 max_dispatches { 1 };
};

RouteSettings const& route_of(CallKind);

inline constexpr auto caller_host = "soak.example";
inline constexpr auto organisation = "plaza";
inline constexpr auto organisation_key = "plaza-key";
inline constexpr auto plain_service = "lanes";
inline constexpr auto engine_service = "models";
/// Hosts close callers' idle connections after this time. It is short enough that closes keep crossing requests, and
/// longer than a caller's usual interval between requests.
inline constexpr Duration idle_timeout = 300ms;

/// The operator's growing configuration: each version adds a probe route, and none is ever removed.
class Configuration {
public:
    /// Adds a version and returns its number.
    u64 add_version();
    [[nodiscard]] u64 version() const { return this->current; }
    /// The configuration in JSON, in the format of the platform's store.
    [[nodiscard]] std::string text() const;

    /// A path on the route that `version` added.
    static std::string probe_path(u64 version);

private:
    u64 current { 0 };
};

}
