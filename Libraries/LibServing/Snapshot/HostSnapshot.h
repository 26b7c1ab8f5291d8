/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/ChangeFollower.h>
#include <LibServing/Reachability.h>

namespace Serving {

/// The hosts of all domains in the form in which one host hands them to another.
Platform::TableSnapshot snapshot_of_hosts(std::vector<KnownHost> hosts, KnownHost const& own);
/// Leaves out rows that cannot be parsed.
std::vector<KnownHost> hosts_in(Platform::TableSnapshot const&);

}
