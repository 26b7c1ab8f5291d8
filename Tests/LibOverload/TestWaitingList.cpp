/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/WaitingList.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Overload;

namespace {

constexpr Instant now { 100s };

Waiter waiter(u32 priority, Duration left = 1s) { return { priority, false, 0, { now + left, now + left }, 1000 }; }

}

SCENARIO("generations wait for capacity in a burst")
{
    WaitingList list({ 3, 10'000 });
    auto const less_urgent = *list.add(waiter(2), now).id;
    auto const urgent = *list.add(waiter(0), now).id;

    THEN("the most urgent one goes first")
    {
        CHECK(list.in_order(now) == std::vector { urgent, less_urgent });
        CHECK(list.has_before(2, now));
        CHECK(list.has_before(0, now));
        list.remove(urgent);
        CHECK_FALSE(list.has_before(0, now));
    }
    THEN("among equally urgent ones, whoever has come back as told goes first, then whose organisation had less")
    {
        list.remove(less_urgent);
        auto large = waiter(0);
        large.use_of_share = 3;
        auto returned = large;
        returned.has_returned = true;
        auto const of_large = *list.add(large, now).id;
        auto const of_returned = *list.add(returned, now).id;
        CHECK(list.in_order(now) == std::vector { of_returned, urgent, of_large });
    }
    THEN("one that can no longer be in time goes after equally urgent ones that can")
    {
        auto late = waiter(0, 500ms);
        late.bounds.useful_until = now + 5s;
        auto const id = *list.add(late, now).id;
        CHECK(list.in_order(now).front() == id);
        CHECK(list.in_order(now + 501ms) == std::vector { urgent, id, less_urgent });
        list.remove(urgent);
        CHECK_FALSE(list.has_before(0, now + 501ms));
    }
    THEN("one for which capacity would come too late has expired")
    {
        CHECK(list.next_end() == now + 1s);
        CHECK(list.expired(now + 999ms).empty());
        CHECK(list.expired(now + 1s).size() == 2);
    }
    WHEN("the list is full")
    {
        (void)list.add(waiter(1), now);
        THEN("a less urgent one is not added")
        {
            auto const added = list.add(waiter(3), now);
            CHECK_FALSE(added.id.has_value());
            CHECK(added.displaced.empty());
            CHECK(list.size() == 3);
        }
        THEN("a more urgent one takes the place of the last")
        {
            auto const added = list.add(waiter(0), now);
            CHECK(added.id.has_value());
            CHECK(added.displaced == std::vector { less_urgent });
            CHECK(list.size() == 3);
        }
    }
    WHEN("a request is larger than the memory for waiting ones")
    {
        auto huge = waiter(0);
        huge.bytes = 10'001;
        CHECK_FALSE(list.add(huge, now).id.has_value());
    }
}

SCENARIO("a wait is bounded by what the caller can still use")
{
    WHEN("the prompt takes a small part of the goal to read")
    {
        auto const bounds = wait_bounds(now, 1600ms, now + 6s, 300ms);
        THEN("a refusal comes early enough to come back within the goal")
        {
            CHECK(bounds.useful_until == now + 200ms);
            CHECK(bounds.in_time_until == now + 1300ms);
        }
    }
    WHEN("the prompt takes most of the goal to read")
    {
        CHECK(wait_bounds(now, 1600ms, now + 6s, 1500ms).useful_until == now + 100ms);
        CHECK(wait_bounds(now, 1600ms, now + 6s, 2s).useful_until == now);
    }
    WHEN("the deadline is many times the goal")
    {
        THEN("the wait is no longer: a second one after a refusal has to end within the goal as well")
        {
            CHECK(wait_bounds(now, 4s, now + 40s, 1s).useful_until == now + 500ms);
        }
    }
    WHEN("the deadline comes first") { CHECK(wait_bounds(now, 1600ms, now + 50ms, 300ms).useful_until == now + 50ms); }
}

SCENARIO("the waiting hosts of a domain do not all choose the first engine with capacity")
{
    // Each host looks at a random time between 0 and twice the mean. Those that look before the placement of the first
    // one is known may choose the same engine.
    for (u32 const hosts : { 2U, 6U, 24U, 100U }) {
        std::mt19937 random(hosts);
        auto const mean = AK::to_seconds(mean_time_between_looks(hosts));
        std::uniform_real_distribution<double> look(0, 2 * mean);
        constexpr int rounds = 2000;
        int further = 0;
        for (int round = 0; round < rounds; ++round) {
            std::vector<double> looks(hosts);
            for (auto& at : looks)
                at = look(random);
            auto const first = *std::ranges::min_element(looks);
            further
                += static_cast<int>(std::ranges::count_if(looks, [&](double at) { return at < first + 0.003; })) - 1;
        }
        INFO(hosts << " hosts");
        CHECK(static_cast<double>(further) / rounds < 0.5);
    }
}
