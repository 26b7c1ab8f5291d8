/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/HostSnapshot.h>
#include <LibWire/Messages.h>

namespace Serving {

Platform::TableSnapshot snapshot_of_hosts(std::vector<KnownHost> hosts, KnownHost const& own)
{
    hosts.push_back(own);
    // Each host numbers its own snapshots, which have no order among each other.
    Platform::TableSnapshot snapshot { {}, 1, 1 };
    for (auto const& host : hosts) {
        wire::HostAddress row;
        row.set_address(host.address.value());
        row.set_failure_domain(host.domain.value());
        row.set_strength(host.strength);
        snapshot.rows.push_back({ host.address.value(), row.SerializeAsString(), 1 });
    }
    return snapshot;
}

std::vector<KnownHost> hosts_in(Platform::TableSnapshot const& snapshot)
{
    std::vector<KnownHost> hosts;
    for (auto const& row : snapshot.rows) {
        wire::HostAddress host;
        if (host.ParseFromString(row.value))
            hosts.push_back({ Address(host.address()), FailureDomainId(host.failure_domain()), host.strength() });
    }
    return hosts;
}

}
