/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/SlownessDistribution.h>
#include <catch2/catch.hpp>

using Overload::Slowness;

SCENARIO("a service's slowness is known from the reports of its servers")
{
    Overload::SlownessDistribution distribution;
    Instant now { 100s };

    SECTION("without a report, nothing is known and no server counts as slow")
    {
        CHECK(!distribution.is_known());
        CHECK(distribution.share_above(Slowness(1)) == 0);
    }

    SECTION("the share of slow reports is the share of time in which a server is slow")
    {
        for (int i = 0; i < 100; ++i)
            distribution.record(Slowness(i % 5 == 0 ? 2.5 : 1), now);
        CHECK(distribution.share_above(Slowness(2)) == Approx(0.2));
        CHECK(distribution.share_above(Slowness(2.5)) == 0);
    }

    SECTION("old reports no longer count")
    {
        distribution.record(Slowness(4), now);
        distribution.record(Slowness(1), now + 1min);
        CHECK(distribution.share_above(Slowness(2)) == 0);
    }

    SECTION("its memory is bounded, and the newest reports remain")
    {
        for (int i = 0; i < 10'000; ++i)
            distribution.record(Slowness(1), now);
        for (int i = 0; i < 1'000; ++i)
            distribution.record(Slowness(3), now);
        CHECK(distribution.share_above(Slowness(2)) == 1);
    }
}
