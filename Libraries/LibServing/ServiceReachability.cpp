/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceReachability.h>
#include <algorithm>
#include <set>

namespace Serving {

/// How long a failed connection attempt marks a backend server as out of reach. This is longer than the one or two
/// seconds that a load balancer needs to redirect callers. Afterwards their requests test the server again.
static constexpr Duration failed_connection_lifetime = 5s;

static bool is_unreachable(Backend const& backend, Overload::DomainDoubt const& doubt,
    std::span<FailureDomainId const> silent_domains, Instant now)
{
    auto const& domain = backend.server.failure_domain;
    if (std::ranges::find(silent_domains, domain) == silent_domains.end())
        return false;
    auto const& failed_at = backend.health.unreachable_at;
    bool const has_failed = failed_at && now - *failed_at < failed_connection_lifetime;
    return has_failed || doubt.is_doubtful({ domain, backend.server.service }, now);
}

bool is_out_of_reach(std::span<BackendPointer const> servers, std::span<FailureDomainId const> silent_domains,
    Instant now, Overload::DomainDoubt const& doubt)
{
    bool has_server = false;
    for (auto const& server : servers) {
        if (!server->takes_work())
            continue;
        has_server = true;
        if (!is_unreachable(*server, doubt, silent_domains, now))
            return false;
    }
    return has_server;
}

std::vector<ServiceName> unreachable_services(BackendTable const& backends, RoutingTable const& routing,
    std::span<FailureDomainId const> silent_domains, Instant now, Overload::DomainDoubt const& doubt)
{
    if (silent_domains.empty())
        return {};
    std::set<ServiceName> services;
    for (auto const& [id, backend] : backends.all()) {
        if (routing.find_service(backend->server.service))
            services.insert(backend->server.service);
    }
    std::erase_if(services, [&](ServiceName const& service) {
        return !is_out_of_reach(backends.of_service(service), silent_domains, now, doubt);
    });
    return { services.begin(), services.end() };
}

}
