/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibServing/Configuration.h>
#include <map>
#include <set>
#include <unordered_map>

namespace Serving {

/// Immutable lookup table of a configuration. Each new version gets a new table.
class RoutingTable {
public:
    explicit RoutingTable(Configuration);

    [[nodiscard]] Revision revision() const { return this->configuration.revision; }
    [[nodiscard]] Http::CallerLimits const& limits() const { return this->configuration.limits; }
    /// Returns the route of `host` with the longest prefix of `path`, or null if none matches.
    [[nodiscard]] Route const* find_route(std::string_view host, std::string_view path) const;
    /// Returns the organisation that owns `key`, or null if it is unknown.
    [[nodiscard]] Organisation const* find_organisation(std::string const& key) const;
    [[nodiscard]] bool requires_keys() const { return !this->configuration.organisations.empty(); }
    [[nodiscard]] Service const* find_service(ServiceName const&) const;
    /// The strictest goal for the time between two events among the routes to this service; empty if no route sends
    /// generations to it.
    [[nodiscard]] std::optional<Duration> min_event_gap_goal(ServiceName const&) const;
    /// The shortest latency goal of any route; empty without routes.
    [[nodiscard]] std::optional<Duration> min_latency_goal() const { return this->shortest_latency_goal; }
    /// Whether a less urgent route to this service has a longer goal for the first event than a more urgent one. Its
    /// generations are then admitted behind backlogs that the more urgent ones cannot wait for, and would take all
    /// capacity in a shortage. With a shorter goal they are the first to be refused anyway.
    [[nodiscard]] bool has_patient_less_urgent_routes(ServiceName const&) const;

private:
    void collect_generation_routes();
    void compare_priorities(std::vector<Route const*> const& routes, ServiceName const&);

    Configuration configuration;
    /// Longest prefix first.
    std::unordered_map<std::string, std::vector<Route const*>> routes_by_host;
    std::unordered_map<std::string, Organisation const*> organisations_by_key;
    std::unordered_map<ServiceName, Service const*> services_by_name;
    std::optional<Duration> shortest_latency_goal;
    std::unordered_map<ServiceName, Duration> min_event_gap_goals;
    std::set<ServiceName> services_with_patient_less_urgent_routes;
};

/// Chooses the service for an attempt of a caller by weight. The same attempt always gets the same service.
ServiceName const& choose_service(Route const&, std::string_view attempt);

}
