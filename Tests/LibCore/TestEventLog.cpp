/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/EventLog.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Core::EventNumber;

SCENARIO("a process keeps its newest events")
{
    GIVEN("a log that holds three events")
    {
        Core::EventLog log(MemberId("gateway-1"), 3);
        for (auto const* subject : { "a", "b", "a", "c" })
            log.record(EventNumber::RequestReceived, subject, "text");

        THEN("the oldest is dropped and the rest is in order")
        {
            auto events = log.latest(10);
            REQUIRE(events.size() == 3);
            CHECK(events[0].subject == "b");
            CHECK(events[2].subject == "c");
            CHECK(events[0].stamp < events[1].stamp);
        }
        THEN("events can be filtered by subject") { CHECK(log.latest(10, "a").size() == 1); }
    }
}

TEST_CASE("timestamps increase strictly, whatever timestamps are observed", "[property]")
{
    rc::prop("hybrid clock", [](std::vector<std::pair<bool, u16>> const& steps) {
        Core::HybridClock clock;
        Core::HybridStamp last;
        u64 wall = 1000;
        for (auto const& [is_message, amount] : steps) {
            if (is_message)
                clock.observe({ wall + amount % 100, amount }, wall);
            else
                wall += amount % 5;
            auto stamp = clock.tick(wall);
            RC_ASSERT(stamp > last);
            last = stamp;
        }
    });
}

SCENARIO("a host with a wrong clock does not advance the clocks of others")
{
    Core::HybridClock clock;
    clock.observe({ 10'000'000'000, 0 }, 1000);
    CHECK(clock.tick(1000).wall_milliseconds <= 61'000);
}
