/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PauseForecast.h>
#include <catch2/catch.hpp>

using namespace Overload;

namespace {

constexpr FullPace fast { 16ms, 33ms, 13'500 };
constexpr FullPace slow { 36ms, 73ms, 6'200 };
constexpr StreamDemand long_stream { 3000, 188, 180ms, 180ms };
constexpr StreamDemand short_stream { 2200, 2, 180ms, 180ms };
constexpr double reading_share = 0.3;

/// A seventh of the reports are of slow machines.
SlownessDistribution noisy()
{
    SlownessDistribution distribution;
    for (int i = 0; i < 140; ++i)
        distribution.record(Slowness(i % 7 == 0 ? 2.5 : 1), Instant { 100s });
    return distribution;
}

}

SCENARIO("a prompt makes streams late where their pauses exceed the goal while the machine is slow")
{
    auto const slowness = noisy();
    PauseForecast const forecast(slowness, long_stream, reading_share);

    SECTION("not on a fast engine, however many streams run there")
    {
        CHECK(forecast.estimate(fast, { 20 }).late_streams() < 0.1);
    }
    SECTION("on a slow engine, the more streams run there")
    {
        auto const alone = forecast.estimate(slow, { 0 });
        auto const with_two = forecast.estimate(slow, { 2 });
        auto const with_four = forecast.estimate(slow, { 4 });
        CHECK(alone.caused == 0);
        CHECK(with_two.caused > 0.2);
        CHECK(with_four.caused == Approx(2 * with_two.caused));
        CHECK(with_four.own == alone.own);
    }
    SECTION("a longer prompt makes more of them late")
    {
        auto twice = long_stream;
        twice.unread_tokens *= 2;
        PauseForecast const longer(slowness, twice, reading_share);
        CHECK(longer.estimate(slow, { 2 }).caused > forecast.estimate(slow, { 2 }).caused);
        CHECK(longer.estimate(slow, { 2 }).caused < 2);
    }
    SECTION("a generation that resumes from a copy has no prompt to read, and makes none late")
    {
        auto resumed = long_stream;
        resumed.unread_tokens = 0;
        PauseForecast const moved(slowness, resumed, reading_share);
        CHECK(moved.estimate(slow, { 4 }).caused == 0);
        CHECK(moved.estimate(slow, { 4 }).own > moved.estimate(fast, { 4 }).own);
    }
}

SCENARIO("a stream risks its own lateness for as long as it runs beside prompts")
{
    auto const slowness = noisy();
    PauseForecast const for_long(slowness, long_stream, reading_share);
    PauseForecast const for_short(slowness, short_stream, reading_share);

    SECTION("a long stream risks much on a slow engine, a short one little")
    {
        CHECK(for_long.estimate(slow, { 0 }).own > 0.3);
        CHECK(for_short.estimate(slow, { 0 }).own < 0.1);
        CHECK(for_long.estimate(fast, { 0 }).own < 0.02);
    }
    SECTION("nothing while the engines of the pool read no prompts")
    {
        PauseForecast const idle(slowness, long_stream, 0);
        CHECK(idle.estimate(slow, { 3 }).own < 0.05);
    }
    SECTION("an engine that is too slow for the goal even without prompts makes streams late, but no prompt does")
    {
        constexpr FullPace too_slow { 120ms, 125ms, 6'200 };
        CHECK(for_long.estimate(too_slow, { 3 }).own > 0.8);
        CHECK(for_long.estimate(too_slow, { 3 }).caused < 0.1);
    }
}

SCENARIO("a first event is late if the engine reads too many prompts before")
{
    auto const slowness = noisy();
    auto due_soon = short_stream;
    due_soon.first_event_due_in = 1500ms;
    PauseForecast const forecast(slowness, due_soon, 0);

    CHECK(forecast.estimate(slow, { 0, 0 }).own < 0.01);
    SECTION("certainly, if even the usual pace is too slow for the backlog")
    {
        CHECK(forecast.estimate(slow, { 0, 9'000 }).own == 1);
        CHECK(forecast.estimate(fast, { 0, 9'000 }).own < 0.2);
    }
    SECTION("while the machine is slow, already with a smaller one")
    {
        CHECK(forecast.estimate(slow, { 0, 3'000 }).own == Approx(1.0 / 7).margin(0.03));
    }
    SECTION("nothing once the goal is missed: all engines are alike then")
    {
        due_soon.first_event_due_in = Duration(0);
        PauseForecast const overdue(slowness, due_soon, 0);
        CHECK(overdue.estimate(slow, { 0, 0 }).own == overdue.estimate(fast, { 0, 0 }).own);
    }
}

SCENARIO("a host that has seen few reports, and none of a slow machine, takes slow engines for more dangerous")
{
    SlownessDistribution few;
    for (int i = 0; i < 8; ++i)
        few.record(usual_slowness, Instant { 100s });
    PauseForecast const forecast(few, long_stream, reading_share);
    CHECK(forecast.estimate(slow, { 1 }).own > 0.15);
    CHECK(forecast.estimate(slow, { 1 }).caused > 0.05);
    CHECK(forecast.estimate(fast, { 1 }).own < forecast.estimate(slow, { 1 }).own / 3);
}

SCENARIO("goals of routes differ")
{
    auto const slowness = noisy();
    SECTION("a stream with a lax goal risks nothing itself, but endangers streams with a strict one")
    {
        StreamDemand lax = long_stream;
        lax.goal = 10s;
        auto const estimate = PauseForecast(slowness, lax, reading_share).estimate(slow, { 2 });
        CHECK(estimate.own < 0.01);
        CHECK(estimate.caused > 0.2);
    }
    SECTION("while no machine is ever slow, none is late")
    {
        SlownessDistribution calm;
        for (int i = 0; i < 500; ++i)
            calm.record(usual_slowness, Instant { 100s });
        CHECK(PauseForecast(calm, long_stream, reading_share).estimate(slow, { 4 }).late_streams() < 0.05);
    }
}
