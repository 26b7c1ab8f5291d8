/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibServing/RoutingTable.h>
#include <span>

namespace Serving {

/// Configured services of which this host can reach no backend server: all that serve are in failure domains whose
/// hosts are silent, and the last connection to each could not be made. Callers of such a service are better off with
/// the hosts of another domain, so a host that has one says that it is not ready.
///
/// Either sign alone is not enough: a host that hears no other may still reach all servers, and one server that takes
/// no connections is most likely down.
std::vector<ServiceName> unreachable_services(
    BackendTable const&, RoutingTable const&, std::span<FailureDomainId const> silent_domains, Instant now);

}
