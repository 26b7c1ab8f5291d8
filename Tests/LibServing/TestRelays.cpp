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

/// Passes a message on as hosts do, and counts what each of them gets; answers the steps that it took.
static size_t pass_on(std::vector<Address> const& receivers, size_t fan_out, std::multiset<Address>& got)
{
    size_t steps = 0;
    for (auto const& part : split_for_relays(receivers, fan_out)) {
        got.insert(part.front());
        steps = std::max(steps, 1 + pass_on({ part.begin() + 1, part.end() }, fan_out, got));
    }
    return steps;
}

TEST_CASE("news reach every host once, and no host sends more than its share")
{
    rc::prop("any number of hosts and any share", [] {
        auto receivers = hosts(*rc::gen::inRange<size_t>(0, 400));
        auto fan_out = *rc::gen::inRange<size_t>(1, 12);
        RC_ASSERT(split_for_relays(receivers, fan_out).size() <= fan_out);
        std::multiset<Address> got;
        pass_on(receivers, fan_out, got);
        RC_ASSERT(got == std::multiset<Address>(receivers.begin(), receivers.end()));
    });
}

SCENARIO("a few steps reach a large failure domain")
{
    std::multiset<Address> got;
    CHECK(pass_on(hosts(8), 8, got) == 1);
    CHECK(pass_on(hosts(72), 8, got) == 2);
    CHECK(pass_on(hosts(320), 8, got) == 3);
}
