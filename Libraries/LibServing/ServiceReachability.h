/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/DomainDoubt.h>
#include <LibServing/BackendTable.h>
#include <LibServing/RoutingTable.h>
#include <span>

namespace Serving {

/// Returns the configured services of which this host can reach no backend server: all servers that accept work are in
/// failure domains whose hosts are silent, and the last connection attempt to each of them failed. Hosts of another
/// domain can serve the callers of these services, so a host with an unreachable service reports that it is not ready.
///
/// Both conditions are needed: a host that receives no messages from other hosts may still reach all servers, and a
/// server that accepts no connections has most likely terminated.
/// A server whose domain is doubtful counts as tried as well.
std::vector<ServiceName> unreachable_services(BackendTable const&, RoutingTable const&,
    std::span<FailureDomainId const> silent_domains, Instant now, Overload::DomainDoubt const& = {});

/// Whether this holds for the service with these servers. A service without a server that accepts work is not out of
/// reach.
bool is_out_of_reach(std::span<BackendPointer const> servers, std::span<FailureDomainId const> silent_domains,
    Instant now, Overload::DomainDoubt const&);

}
