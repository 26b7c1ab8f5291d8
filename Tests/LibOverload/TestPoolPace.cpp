/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PoolPace.h>
#include <catch2/catch.hpp>

using namespace Overload;

SCENARIO("what is not known of one engine's pace is estimated from the other engines")
{
    PoolPace pool;
    SECTION("nothing is estimated while no engine has read a prompt beside its streams")
    {
        pool.add({ 30ms, {}, {} });
        CHECK_FALSE(pool.complete({}).has_value());
        CHECK_FALSE(pool.complete({ 30ms, {}, {} }).has_value());
    }

    SECTION("a pool of one fast engine and two slow ones")
    {
        pool.add({ 16ms, 32ms, 14'000 });
        pool.add({ 36ms, 72ms, 6'000 });
        pool.add({ 36ms, 72ms, 6'000 });
        pool.add({});

        SECTION("an engine that has just started is taken for a usual one")
        {
            auto const pace = pool.complete({});
            REQUIRE(pace.has_value());
            CHECK(pace->event_interval == 36ms);
            CHECK(pace->event_interval_while_reading == 72ms);
            CHECK(pace->prompt_tokens_per_second == 6'000);
        }
        SECTION("a known value tells more than the median: the other one follows from the usual ratio")
        {
            CHECK(pool.complete({ 17ms, {}, {} })->event_interval_while_reading == 34ms);
            CHECK(pool.complete({ {}, 34ms, {} })->event_interval == 17ms);
        }
        SECTION("known values are kept as they are")
        {
            auto const pace = pool.complete({ 10ms, 50ms, 9'000 });
            CHECK(pace->event_interval == 10ms);
            CHECK(pace->event_interval_while_reading == 50ms);
            CHECK(pace->prompt_tokens_per_second == 9'000);
        }
    }
}
