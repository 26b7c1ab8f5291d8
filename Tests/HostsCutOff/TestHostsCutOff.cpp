/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/HostsCutOff/CutOffHosts.h>
#include <catch2/catch.hpp>

using namespace Test;

namespace {

/// Time that hosts have to adapt to a partition.
constexpr Duration contact_time = 3s;

/// First attempts at a partitioned host are served at least two thirds as often as those at other hosts.
bool is_served_as_well(size_t served_by_partitioned, size_t served_by_other)
{
    return 3 * served_by_partitioned >= 2 * served_by_other;
}

void check_partitioned_hosts_serve(std::vector<size_t> const& partitioned, Partition kind)
{
    CutOffHosts group;
    CHECK(group.serve({ 0, 1, 2 }) == std::vector<size_t>(3, 2 * CutOffHosts::rounds));
    for (auto const host : partitioned)
        group.cut(host, kind);
    group.serve({ 0, 1, 2 });
    group.run_for(contact_time);
    auto const served = group.serve({ 0, 1, 2 });
    CHECK(served[2] == 2 * CutOffHosts::rounds);
    for (auto const host : partitioned) {
        INFO("host " << host << " served " << served[host]);
        CHECK(is_served_as_well(served[host], served[2]));
    }
}

}

// Guards against a host that refuses its callers while it is partitioned from all backend servers, although the other
// hosts reach them.
SCENARIO("a host that has lost the backend servers alone serves its callers through another host")
{
    GIVEN("a silent partition") { check_partitioned_hosts_serve({ 0 }, Partition::Silent); }
    GIVEN("connections that are reset") { check_partitioned_hosts_serve({ 0 }, Partition::Resets); }
    GIVEN("open connections that live on") { check_partitioned_hosts_serve({ 0 }, Partition::RefusesNew); }
}

// Guards against the same if no host of the failure domain reaches the servers.
SCENARIO("all hosts of a domain that have lost the backend servers serve their callers through another domain")
{
    GIVEN("a silent partition") { check_partitioned_hosts_serve({ 0, 1 }, Partition::Silent); }
    GIVEN("connections that are reset") { check_partitioned_hosts_serve({ 0, 1 }, Partition::Resets); }
    GIVEN("open connections that live on") { check_partitioned_hosts_serve({ 0, 1 }, Partition::RefusesNew); }
}
