/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibServing/Configuration.h>
#include <map>
#include <unordered_map>

namespace Serving {

/// A configuration in force, arranged for look-up. Never changes; a new version is a new table.
class RoutingTable {
public:
    explicit RoutingTable(Configuration);

    [[nodiscard]] Revision revision() const { return this->configuration.revision; }
    [[nodiscard]] Http::CallerLimits const& limits() const { return this->configuration.limits; }
    /// The route of `host` with the longest prefix of `path`; null when there is none.
    [[nodiscard]] Route const* find_route(std::string_view host, std::string_view path) const;
    /// Who holds `key`; null when nobody does.
    [[nodiscard]] Organisation const* find_organisation(std::string const& key) const;
    [[nodiscard]] bool requires_keys() const { return !this->configuration.organisations.empty(); }
    [[nodiscard]] Service const* find_service(ServiceName const&) const;

private:
    Configuration configuration;
    /// Longest prefix first.
    std::unordered_map<std::string, std::vector<Route const*>> routes_by_host;
    std::unordered_map<std::string, Organisation const*> organisations_by_key;
    std::unordered_map<ServiceName, Service const*> services_by_name;
};

/// The service that takes an attempt of a caller; the same attempt always gets the same one.
ServiceName const& choose_service(Route const&, std::string_view attempt);

}
