/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/CallerConnection.h>
#include <optional>
#include <string>
#include <vector>

/// The host form of lilactiller: one process on each entry host that takes callers' requests, decides, and relays
/// the answers of backend servers.
namespace Serving {

/// What may be done with a request again.
enum class CallKind : u8 {
    /// Running it twice does no harm.
    Repeatable,
    /// It may run once at most for each of the caller's attempts.
    AtMostOnce,
    /// A generation; at most once as well, and its answer is a stream of events.
    Generation,
};

struct WeightedService {
    ServiceName service;
    u32 weight { 1 };
};

struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    CallKind kind { CallKind::AtMostOnce };
    /// The longest that a request may be held.
    Duration timeout { 30s };
    /// The time to the answer, or to the first event of a stream, that the operator aims at.
    Duration latency_goal { 1s };
    /// The longest pause between events that the operator aims at.
    Duration event_gap_goal { 180ms };
    /// 0 is the most urgent.
    u32 priority { 5 };
    std::vector<WeightedService> services;
    /// Backend servers that one attempt of a caller may run on.
    u32 max_dispatches { 1 };
    bool is_public { false };
    bool is_resumable { false };
};

/// What the operator says of the engines of a service.
struct EngineTraits {
    u32 slots { 1 };
    TokenCount memory;
    u64 bytes_per_token { 0 };
    double link_megabits_per_second { 0 };
    bool can_move { false };
    bool can_back_up { false };
    /// Tokens in one event of a stream.
    u32 tokens_per_event { 1 };
    Duration copy_lifetime { 5s };
};

struct Service {
    ServiceName name;
    /// Connections that one backend server takes from all hosts together.
    u32 max_connections { 64 };
    /// What one backend server bears while it is cold, from all hosts together; 0 where no bound is configured.
    double cold_requests_per_second { 0 };
    std::optional<EngineTraits> engine;
};

struct Organisation {
    OrganisationId name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<u32> priority;
};

/// One version of what the operator has configured, whole.
struct Configuration {
    Revision revision;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    Http::CallerLimits limits;
};

}
