/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/GenerationKinds.h>
#include <catch2/catch.hpp>

using namespace Overload;

SCENARIO("long drafts and short urgent tags are requested from one service")
{
    GenerationKinds kinds;
    Instant now { 100s };
    for (i64 i = 1; i <= 30; ++i) {
        kinds.record(0, 1500ms, TokenCount(100 * i), TokenCount(10), now);
        kinds.record(2, 4s, TokenCount(3000), TokenCount(700), now);
    }
    THEN("the tags are the more urgent kind, with a size that few exceed")
    {
        auto const more_urgent = kinds.more_urgent_than(2, now);
        REQUIRE(more_urgent.size() == 1);
        CHECK(more_urgent.front().priority == 0);
        CHECK(more_urgent.front().first_event_goal == 1500ms);
        CHECK(more_urgent.front().prompt == TokenCount(2700));
        CHECK(more_urgent.front().expected_output == TokenCount(10));
        CHECK(kinds.more_urgent_than(0, now).empty());
    }
    WHEN("the tags become smaller")
    {
        for (int i = 0; i < 32; ++i)
            kinds.record(0, 1500ms, TokenCount(50), TokenCount(10), now);
        THEN("so does the kind") { CHECK(kinds.more_urgent_than(2, now).front().prompt == TokenCount(50)); }
    }
    WHEN("no tag was requested for a while")
    {
        now += GenerationKinds::memory + 1s;
        THEN("nothing is kept free for them") { CHECK(kinds.more_urgent_than(2, now).empty()); }
    }
}

SCENARIO("a service whose generations all have the same priority has nothing to keep free")
{
    GenerationKinds kinds;
    Instant const now { 100s };
    kinds.record(5, 1s, TokenCount(2000), TokenCount(10), now);
    kinds.record(5, 2s, TokenCount(3000), TokenCount(700), now);
    CHECK(kinds.more_urgent_than(5, now).empty());
    REQUIRE(kinds.with_priority(5, now).size() == 1);
    CHECK(kinds.with_priority(5, now).front().first_event_goal == 1s);
}
