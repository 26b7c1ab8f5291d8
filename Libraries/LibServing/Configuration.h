/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/CallerConnection.h>
#include <LibServing/Regions.h>
#include <optional>
#include <string>
#include <vector>

/// The host form of lilactiller: one process on each entry host that accepts callers' requests, chooses backend servers
/// for them, and relays the responses.
namespace Serving {

/// Whether a request may be dispatched more than once.
enum class CallKind : u8 {
    /// The request is idempotent.
    Repeatable,
    /// The request may run at most once per attempt of the caller.
    AtMostOnce,
    /// A generation, which also runs at most once. Its response is an event stream.
    Generation,
};

struct WeightedService {
    ServiceName service;
    u32 weight { 1 };
};

struct Route {
    RouteName name;
    std::string host;
    /// Starts and ends with a slash.
    std::string path_prefix;
    CallKind kind { CallKind::AtMostOnce };
    /// Maximum time from the receipt of a request to its end.
    Duration timeout { 30s };
    /// The operator's goal for the time to the response or to the first event of a stream.
    Duration latency_goal { 1s };
    /// The operator's goal for the maximum time between two events of a stream.
    Duration event_gap_goal { 180ms };
    /// 0 is the most urgent.
    u32 priority { 5 };
    std::vector<WeightedService> services;
    /// Maximum number of backend servers that one attempt of a caller may run on.
    u32 max_dispatches { 1 };
    bool is_public { false };
    bool is_resumable { false };
    /// Where its requests may be served and their content may be stored.
    AllowedRegions allowed_regions {};
};

/// Properties of a service's engines, as configured by the operator.
struct EngineTraits {
    u32 slots { 1 };
    TokenCount memory;
    u64 bytes_per_token { 0 };
    double link_megabits_per_second { 0 };
    bool can_move { false };
    bool can_back_up { false };
    /// Number of tokens in one event of a stream.
    u32 tokens_per_event { 1 };
    Duration copy_lifetime { 5s };
};

struct Service {
    ServiceName name;
    /// Maximum number of connections that one backend server accepts from all hosts together.
    u32 max_connections { 64 };
    /// Request rate that one cold backend server sustains from all hosts together; 0 if no bound is configured.
    double cold_requests_per_second { 0 };
    std::optional<EngineTraits> engine;
};

struct Organisation {
    OrganisationId name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<u32> priority;
    /// Where its requests may be served and their content may be stored.
    AllowedRegions allowed_regions {};
};

/// One complete version of the operator's configuration.
struct Configuration {
    Revision revision;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    Http::CallerLimits limits;
};

}
