/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/LibOverload/ReturningPool.h>

namespace OverloadTest {

using Policy = ReturningPool::Policy;
using Outcome = ReturningPool::Outcome;

/// Of the callers who return as told, those who are to be served in time.
inline constexpr double wanted_in_time_share = 0.8;

/// What takes the capacity.
enum class Trouble : u8 { LongOverload, Burst, EnginesFail, FullLoad };

struct Setting {
    Trouble trouble { Trouble::Burst };
    u32 hosts { 6 };
    Duration message_delay { 3ms };
};

inline void run_trouble(ReturningPool& pool, Trouble trouble, u32 engines)
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
inline Outcome play(Policy policy, Setting const& setting)
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

inline double share(u32 part, u32 whole) { return whole == 0 ? 0 : static_cast<double>(part) / whole; }

inline double in_time_share(Outcome const& outcome) { return share(outcome.returned_in_time, outcome.returned); }

}
