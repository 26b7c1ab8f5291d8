/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The allowance of a service is divided among all hosts. With about as many hosts as repeats in it, each host's part is
// next to nothing, although all hosts together want less than it allows. The hosts know each other here; Tests/Fleet
// shows that the bound holds while they do not.

#include <LibServing/RetryBudget.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Serving;

namespace {

struct Count {
    u32 wanted { 0 };
    u32 granted { 0 };
};

/// Plays hosts with 0.24 requests a second each, a tenth of which want to be repeated. Returns the repeats of the last
/// 20 seconds.
Count play(u32 host_count)
{
    constexpr u32 allowance = 1040;
    constexpr Duration step = 100ms;
    constexpr double requests_per_step = 0.024;
    ServiceName const service("models");
    std::mt19937 random(host_count);
    Instant now { 100s };
    std::vector<RetryBudget> hosts(host_count, RetryBudget({ 0.2, allowance, 10s, 8 }));
    for (u32 i = 0; i < host_count; ++i) {
        hosts[i].set_sharing_hosts(host_count, now);
        hosts[i].set_dealt_repeats(allowance / host_count + (i < allowance % host_count ? 1 : 0), now);
    }
    Count count;
    auto const counted_from = now + 25s;
    for (auto const end = counted_from + 20s; now < end; now += step) {
        for (auto& host : hosts) {
            if (!std::bernoulli_distribution(requests_per_step)(random))
                continue;
            host.record_request(service, now);
            if (now < counted_from || !std::bernoulli_distribution(0.1)(random))
                continue;
            ++count.wanted;
            count.granted += host.take(service, now).is_granted ? 1 : 0;
        }
        for (u32 i = 0; i < host_count; ++i)
            hosts[i].set_dealt_repeats(allowance / host_count + (i < allowance % host_count ? 1 : 0), now);
    }
    return count;
}

}

SCENARIO("hosts of any number grant nine in ten of the repeats that are wanted within the bound")
{
    u32 const hosts = GENERATE(300, 986, 1068, 2000);
    auto const count = play(hosts);
    INFO(hosts << " hosts grant " << count.granted << " of " << count.wanted);
    CHECK(count.granted >= 0.9 * count.wanted);
}
