/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "ReturningPool.h"
#include <catch2/catch.hpp>

using Policy = ReturningPool::Policy;

using Outcome = ReturningPool::Outcome;

namespace {

enum class Trouble : u8 { LongOverload, Burst, EnginesFail, FullLoad };

struct Setting {
    Trouble trouble { Trouble::Burst };
    u32 hosts { 6 };
    Duration message_delay { 3ms };
};

void run_trouble(ReturningPool& pool, Trouble trouble, u32 engines)
{
    switch (trouble) {
    case Trouble::LongOverload:
        return pool.run(1.3, 10s);
    case Trouble::Burst:
        return pool.run(2, 3s);
    case Trouble::FullLoad:
        return pool.run(1, 30s);
    case Trouble::EnginesFail:
        pool.set_failed(engines / 3, true);
        pool.run(0.75, 5s);
        pool.set_failed(engines / 3, false);
    }
}

/// Sums over some seeds: a normal load, the trouble, and a normal load again.
Outcome play(Policy policy, Setting const& setting)
{
    constexpr u32 seeds = 3;
    bool const is_small = setting.hosts == 6;
    u32 const engines = is_small ? 30 : 100;
    Outcome sum;
    for (u32 seed = 1; seed <= seeds; ++seed) {
        ReturningPool pool({ policy, setting.hosts, is_small ? 1U : 3U, engines, setting.message_delay, seed });
        pool.run(0.7, 30s);
        run_trouble(pool, setting.trouble, engines);
        pool.run(0.7, 20s);
        sum += pool.outcome;
    }
    return sum;
}

double share(u32 part, u32 whole) { return whole == 0 ? 0 : static_cast<double>(part) / whole; }

double in_time_share(Outcome const& outcome) { return share(outcome.returned_in_time, outcome.returned); }

}

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
                // The two runs draw different requests after the first refusal.
                CHECK(share(now.in_time(), now.requests) >= share(before.in_time(), before.requests) - 0.003);
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
        CHECK(in_time_share(play(Policy::ShortTime, setting)) < 0.65);
        CHECK(in_time_share(play(Policy::Plan, setting)) >= 0.8);
    }
}

SCENARIO("a burst of twice the capacity for three seconds")
{
    for (u32 const hosts : { 6, 70, 300 }) {
        CAPTURE(hosts);
        Setting const setting { Trouble::Burst, hosts, 3ms };
        CHECK(in_time_share(play(Policy::ShortTime, setting)) < 0.45);
        CHECK(in_time_share(play(Policy::Plan, setting)) >= 0.6);
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
