/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibOverload/ReturnTroubles.h>
#include <catch2/catch.hpp>

using namespace OverloadTest;

SCENARIO("of the callers who return as told, four in five are served in time")
{
    auto const trouble = GENERATE(Trouble::LongOverload, Trouble::Burst, Trouble::EnginesFail);
    for (u32 const hosts : { 6, 70, 300 }) {
        CAPTURE(hosts, static_cast<int>(trouble));
        CHECK(in_time_share(play(Policy::Plan, { trouble, hosts, 3ms })) >= wanted_in_time_share);
    }
}
