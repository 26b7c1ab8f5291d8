/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibOverload/ReturnTroubles.h>
#include <catch2/catch.hpp>
#include <cmath>

using namespace OverloadTest;

SCENARIO("callers who return as told are served in time more often than after 200 to 400 ms")
{
    for (u32 const hosts : { 6, 70, 300 }) {
        for (auto const delay : { Duration(3ms), Duration(200ms), Duration(1s), Duration(3s) }) {
            for (auto const trouble :
                { Trouble::LongOverload, Trouble::Burst, Trouble::EnginesFail, Trouble::FullLoad }) {
                Setting const setting { trouble, hosts, delay };
                CAPTURE(hosts, AK::to_milliseconds(delay), static_cast<int>(trouble));
                auto const before = play(Policy::ShortTime, setting);
                auto const now = play(Policy::Plan, setting);
                CHECK(in_time_share(now) >= in_time_share(before));
                CHECK(share(now.refused_again, now.returned) < share(before.refused_again, before.returned));
                // The two runs draw different requests after the first refusal, so two standard errors are allowed.
                auto const share_before = share(before.in_time(), before.requests);
                auto const standard_error = std::sqrt(2 * share_before * (1 - share_before) / before.requests);
                CHECK(share(now.in_time(), now.requests) >= share_before - 2 * standard_error);
                CHECK(now.longest_return <= 13s);
            }
        }
    }
}

SCENARIO("a third of the engines fails for five seconds")
{
    for (u32 const hosts : { 6, 70, 300 }) {
        CAPTURE(hosts);
        Setting const setting { Trouble::EnginesFail, hosts, 3ms };
        CHECK(in_time_share(play(Policy::ShortTime, setting)) < wanted_in_time_share);
        CHECK(in_time_share(play(Policy::Plan, setting)) >= wanted_in_time_share);
    }
}

SCENARIO("a burst of twice the capacity for three seconds")
{
    for (u32 const hosts : { 6, 70, 300 }) {
        CAPTURE(hosts);
        Setting const setting { Trouble::Burst, hosts, 3ms };
        CHECK(in_time_share(play(Policy::Plan, setting)) > in_time_share(play(Policy::ShortTime, setting)));
    }
}

SCENARIO("a normal load without a shortage is served as before")
{
    for (u32 const hosts : { 6, 70 }) {
        ReturningPool before({ Policy::ShortTime, hosts });
        ReturningPool now({ Policy::Plan, hosts });
        before.run(0.7, 60s);
        now.run(0.7, 60s);
        CHECK(now.outcome.in_time() == before.outcome.in_time());
        CHECK(now.outcome.returned == before.outcome.returned);
    }
}
