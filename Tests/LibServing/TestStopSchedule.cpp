/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/OpenRequests.h>
#include <LibServing/StopSchedule.h>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

using Serving::OpenRequests;
using Serving::StopSchedule;

// Guards against requests that are accepted during a planned stop and can't be finished before the process ends.
SCENARIO("a stopping host accepts a request only if it can respond before its process ends")
{
    constexpr Duration grace = 8s;
    Instant const begun_at { 1h };
    StopSchedule const schedule(begun_at, grace);

    GIVEN("any instant of the grace period, and routes of any timeout")
    {
        auto const elapsed = GENERATE(0ms, 10ms, 2500ms, 3000ms, 6190ms, 6210ms, 7500ms, 7690ms, 7710ms, 7990ms);
        auto const timeout = GENERATE(1ms, 100ms, 1500ms, 2000ms, 6000ms, 39000ms);
        auto const deadline = begun_at + elapsed + timeout;
        INFO("elapsed " << elapsed.count() << " ms, timeout " << timeout.count() << " ms");
        THEN("what it accepts has its response before the process ends, and that before it is killed")
        {
            if (schedule.may_accept(deadline))
                CHECK(deadline < schedule.process_ends());
            CHECK(schedule.responses_due() < schedule.process_ends());
            CHECK(schedule.process_ends() < begun_at + grace);
        }
    }
    GIVEN("a call of 1.5 s at most")
    {
        THEN("it is accepted while the rest of the grace period is longer")
        {
            CHECK(schedule.may_accept(begun_at + 6s + 1500ms));
        }
        THEN("it is refused later, however short it may turn out to be")
        {
            CHECK_FALSE(schedule.may_accept(begun_at + 7500ms + 1500ms));
        }
    }
    GIVEN("a load balancer that needs two health checks, sent a second apart, to notice the stop")
    {
        THEN("connections are accepted meanwhile")
        {
            CHECK_FALSE(schedule.must_stop_accepting_connections(begun_at + 2s));
            CHECK(schedule.must_stop_accepting_connections(begun_at + 2500ms));
        }
    }
}

SCENARIO("each open request is ended once when the process ends")
{
    OpenRequests requests;
    std::vector<std::optional<OpenRequests::Entry>> entries(3);
    std::vector<size_t> ended;
    for (size_t i = 0; i < entries.size(); ++i)
        entries[i].emplace(requests, [&entries, &ended, i] {
            ended.push_back(i);
            entries[i].reset();
        });
    REQUIRE(requests.count() == 3);

    GIVEN("requests that have ended before")
    {
        entries[1].reset();
        requests.end_all();
        THEN("the others are ended") { CHECK(ended == std::vector<size_t> { 0, 2 }); }
        THEN("none is left") { CHECK(requests.count() == 0); }
    }
    GIVEN("a request whose end also ends another one")
    {
        entries[0].emplace(requests, [&] {
            entries[0].reset();
            entries[2].reset();
        });
        requests.end_all();
        THEN("that one is not ended a second time")
        {
            CHECK(ended == std::vector<size_t> { 1, 2 });
            CHECK(requests.count() == 0);
        }
    }
}
