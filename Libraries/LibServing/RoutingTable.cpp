/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RoutingTable.h>
#include <algorithm>
#include <map>
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
    if (!this->configuration.routes.empty())
        this->shortest_latency_goal
            = std::ranges::min_element(this->configuration.routes, {}, &Route::latency_goal)->latency_goal;
    this->collect_generation_routes();
}

void RoutingTable::collect_generation_routes()
{
    std::map<ServiceName, std::vector<Route const*>> routes_by_service;
    for (auto const& route : this->configuration.routes) {
        if (route.kind != CallKind::Generation)
            continue;
        for (auto const& weighted : route.services)
            routes_by_service[weighted.service].push_back(&route);
    }
    for (auto const& [service, routes] : routes_by_service) {
        auto const strictest = std::ranges::min_element(routes, {}, &Route::event_gap_goal);
        this->min_event_gap_goals[service] = (*strictest)->event_gap_goal;
        this->compare_priorities(routes, service);
    }
}

void RoutingTable::compare_priorities(std::vector<Route const*> const& routes, ServiceName const& service)
{
    for (auto const* urgent : routes) {
        bool const is_any_patient = std::ranges::any_of(routes, [&](Route const* other) {
            return other->priority > urgent->priority && other->latency_goal > urgent->latency_goal;
        });
        if (is_any_patient)
            this->services_with_patient_less_urgent_routes.insert(service);
    }
}

bool RoutingTable::has_patient_less_urgent_routes(ServiceName const& service) const
{
    return this->services_with_patient_less_urgent_routes.contains(service);
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
