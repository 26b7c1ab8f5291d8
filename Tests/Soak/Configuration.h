/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string>
#include <vector>

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
    u32 most_dispatches { 1 };
};

RouteSettings const& route_of(CallKind);

inline constexpr auto caller_host = "soak.example";
inline constexpr auto organisation = "plaza";
inline constexpr auto lasting_key = "plaza-key";
inline constexpr auto plain_service = "lanes";
inline constexpr auto engine_service = "models";
/// Slots of each stand-in of a backend server.
inline constexpr u32 runner_slots = 8;

/// The operator's configuration as it grows: each version adds a probe route, and keys come and go.
class Configuration {
public:
    /// One more version; answers its number.
    u64 add_version();
    /// Adds a key that a later version takes away again.
    void add_key(std::string key) { this->passing_keys.push_back(std::move(key)); }
    void drop_key(std::string const& key) { std::erase(this->passing_keys, key); }
    [[nodiscard]] u64 version() const { return this->current; }
    /// As the platform's store keeps it.
    [[nodiscard]] std::string text() const;

    /// A path on the route that was added by `version`.
    static std::string probe_path(u64 version);

private:
    u64 current { 0 };
    std::vector<std::string> passing_keys;
};

}
