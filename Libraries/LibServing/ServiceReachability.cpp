/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceReachability.h>
#include <algorithm>
#include <map>

namespace Serving {

/// How long a failed connection attempt marks a backend server as out of reach. This is longer than the one or two
/// seconds that a load balancer needs to redirect callers. Afterwards their requests test the server again.
static constexpr Duration failed_connection_lifetime = 5s;

static bool is_unreachable(Backend const& backend, std::span<FailureDomainId const> silent_domains, Instant now)
{
    bool const is_silent = std::ranges::find(silent_domains, backend.server.failure_domain) != silent_domains.end();
    return is_silent && backend.health.unreachable_at
        && now - *backend.health.unreachable_at < failed_connection_lifetime;
}

std::vector<ServiceName> unreachable_services(BackendTable const& backends, RoutingTable const& routing,
    std::span<FailureDomainId const> silent_domains, Instant now)
{
    if (silent_domains.empty())
        return {};
    std::map<ServiceName, bool> reachable_by_service;
    for (auto const& [id, backend] : backends.all()) {
        auto const& service = backend->server.service;
        if (!backend->takes_work() || !routing.find_service(service))
            continue;
        auto& is_reachable = reachable_by_service[service];
        is_reachable = is_reachable || !is_unreachable(*backend, silent_domains, now);
    }
    std::vector<ServiceName> services;
    for (auto const& [service, is_reachable] : reachable_by_service) {
        if (!is_reachable)
            services.push_back(service);
    }
    return services;
}

}
