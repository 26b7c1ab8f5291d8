/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RoutingTable.h>
#include <algorithm>
#include <xxhash.h>

namespace Serving {

RoutingTable::RoutingTable(Configuration configuration)
    : configuration(std::move(configuration))
{
    for (auto const& route : this->configuration.routes)
        this->routes_by_host[route.host].push_back(&route);
    for (auto& [host, routes] : this->routes_by_host) {
        std::ranges::stable_sort(
            routes, std::ranges::greater {}, [](Route const* route) { return route->path_prefix.size(); });
    }
    for (auto const& organisation : this->configuration.organisations) {
        for (auto const& key : organisation.keys)
            this->organisations_by_key[key] = &organisation;
    }
    for (auto const& service : this->configuration.services)
        this->services_by_name[service.name] = &service;
    for (auto const& route : this->configuration.routes) {
        if (route.kind != CallKind::Generation)
            continue;
        for (auto const& weighted : route.services) {
            auto const [goal, is_new] = this->min_event_gap_goals.try_emplace(weighted.service, route.event_gap_goal);
            if (!is_new)
                goal->second = std::min(goal->second, route.event_gap_goal);
        }
    }
}

std::optional<Duration> RoutingTable::min_event_gap_goal(ServiceName const& service) const
{
    auto found = this->min_event_gap_goals.find(service);
    if (found == this->min_event_gap_goals.end())
        return {};
    return found->second;
}

Route const* RoutingTable::find_route(std::string_view host, std::string_view path) const
{
    auto found = this->routes_by_host.find(std::string(host));
    if (found == this->routes_by_host.end())
        return nullptr;
    auto route = std::ranges::find_if(
        found->second, [&](Route const* candidate) { return path.starts_with(candidate->path_prefix); });
    return route == found->second.end() ? nullptr : *route;
}

Organisation const* RoutingTable::find_organisation(std::string const& key) const
{
    auto found = this->organisations_by_key.find(key);
    return found == this->organisations_by_key.end() ? nullptr : found->second;
}

Service const* RoutingTable::find_service(ServiceName const& name) const
{
    auto found = this->services_by_name.find(name);
    return found == this->services_by_name.end() ? nullptr : found->second;
}

ServiceName const& choose_service(Route const& route, std::string_view attempt)
{
    VERIFY(!route.services.empty());
    u64 total = 0;
    for (auto const& weighted : route.services)
        total += weighted.weight;
    if (total == 0)
        return route.services.front().service;
    auto drawn = XXH3_64bits(attempt.data(), attempt.size()) % total;
    for (auto const& weighted : route.services) {
        if (drawn < weighted.weight)
            return weighted.service;
        drawn -= weighted.weight;
    }
    VERIFY(false);
}

}
