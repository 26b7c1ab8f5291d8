/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Relays.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace Serving;

static std::vector<Address> hosts(size_t count)
{
    std::vector<Address> result;
    for (size_t i = 0; i < count; ++i)
        result.emplace_back("10.0.0." + std::to_string(i) + ":7200");
    return result;
}

/// Forwards a message as hosts do and records every delivery. Returns the number of hops.
static size_t forward(std::vector<Address> const& receivers, size_t fan_out, std::multiset<Address>& received)
{
    size_t hops = 0;
    for (auto const& group : split_for_relays(receivers, fan_out)) {
        received.insert(group.front());
        hops = std::max(hops, 1 + forward({ group.begin() + 1, group.end() }, fan_out, received));
    }
    return hops;
}

TEST_CASE("news reach every host once, and no host sends more than its share")
{
    rc::prop("any number of hosts and any share", [] {
        auto receivers = hosts(*rc::gen::inRange<size_t>(0, 400));
        auto fan_out = *rc::gen::inRange<size_t>(1, 12);
        RC_ASSERT(split_for_relays(receivers, fan_out).size() <= fan_out);
        std::multiset<Address> received;
        forward(receivers, fan_out, received);
        RC_ASSERT(received == std::multiset<Address>(receivers.begin(), receivers.end()));
    });
}

SCENARIO("a few hops reach a large failure domain")
{
    std::multiset<Address> received;
    CHECK(forward(hosts(8), 8, received) == 1);
    CHECK(forward(hosts(72), 8, received) == 2);
    CHECK(forward(hosts(320), 8, received) == 3);
}
