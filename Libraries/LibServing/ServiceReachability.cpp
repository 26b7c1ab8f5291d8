/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceReachability.h>
#include <algorithm>
#include <map>

namespace Serving {

/// How long a connection that could not be made speaks against a backend server. Longer than the one or two seconds
/// that a balancer takes to send callers elsewhere; after it their requests test the server again.
static constexpr Duration failed_connection_holds = 5s;

static bool is_out_of_reach(Backend const& backend, std::span<FailureDomainId const> silent_domains, Instant now)
{
    bool const is_silent = std::ranges::find(silent_domains, backend.server.failure_domain) != silent_domains.end();
    return is_silent && backend.health.unreachable_at && now - *backend.health.unreachable_at < failed_connection_holds;
}

std::vector<ServiceName> unreachable_services(BackendTable const& backends, RoutingTable const& routing,
    std::span<FailureDomainId const> silent_domains, Instant now)
{
    if (silent_domains.empty())
        return {};
    std::map<ServiceName, bool> can_be_reached;
    for (auto const& [id, backend] : backends.all()) {
        auto const& service = backend->server.service;
        if (!backend->takes_work() || !routing.find_service(service))
            continue;
        auto& reached = can_be_reached[service];
        reached = reached || !is_out_of_reach(*backend, silent_domains, now);
    }
    std::vector<ServiceName> services;
    for (auto const& [service, reached] : can_be_reached) {
        if (!reached)
            services.push_back(service);
    }
    return services;
}

}
