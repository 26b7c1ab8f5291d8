/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/KnownPace.h>
#include <LibOverload/ServicePace.h>
#include <catch2/catch.hpp>

using namespace Overload;

namespace {

bool is_about(std::optional<Duration> const& interval, Duration expected)
{
    return interval && *interval > expected * 0.9 && *interval < expected * 1.1;
}

}

SCENARIO("the speed of an engine is known from its first report, once others of its service are known")
{
    ServicePace service;
    GIVEN("a service of which nothing was observed")
    {
        THEN("a report tells nothing") { CHECK(service.pace_at(usual_slowness) == EnginePace {}); }
    }
    GIVEN("engines of two kinds, one of which is slowed for a moment while it is observed")
    {
        for (u32 i = 0; i < 3; ++i)
            service.record_interval({ 36ms, false }, Slowness(1.2));
        service.record_interval({ 90ms, false }, Slowness(3));
        service.record_interval({ 16500us, false }, Slowness(0.55));
        for (u32 i = 0; i < 5; ++i) {
            service.record_interval({ 73ms, true }, Slowness(1.2));
            service.record_prompt(TokenCount(2400), 400ms, Slowness(1.2));
        }
        THEN("the report of a new engine tells its speed")
        {
            auto const quick = service.pace_at(Slowness(0.55));
            CHECK(is_about(quick.event_interval, 16500us));
            CHECK(is_about(quick.event_interval_while_reading, 33500us));
            CHECK(*quick.prompt_tokens_per_second == Approx(13'091).epsilon(0.01));
            CHECK(is_about(service.pace_at(Slowness(1.2)).event_interval, 36ms));
        }
        AND_WHEN("the slowness of an engine changes between its report and its events")
        {
            service.record_interval({ 36ms, false }, Slowness(3));
            service.record_interval({ 90ms, false }, Slowness(1.2));
            THEN("that changes little") { CHECK(is_about(service.pace_at(Slowness(1.2)).event_interval, 36ms)); }
        }
    }
    GIVEN("a single observation")
    {
        service.record_interval({ 36ms, false }, Slowness(1.2));
        THEN("it does not count yet") { CHECK_FALSE(service.pace_at(usual_slowness).event_interval); }
    }
}

SCENARIO("what an engine's report tells gives way to what its streams show")
{
    KnownPace known;
    known.derived.event_interval = 16ms;
    CHECK(known.value().event_interval == 16ms);
    // It is a conclusion, which each host draws itself.
    CHECK_FALSE(known.has_news());
    for (u32 i = 0; i < 4; ++i)
        known.own.record_interval({ 36ms, false });
    CHECK(known.value().event_interval == 36ms);
}

SCENARIO("hosts learn the relation of report and speed from each other, until they have observed it themselves")
{
    ServicePace service;
    for (u32 i = 0; i < 5; ++i)
        service.record_reported({ 36ms, 73ms, 6000 }, Slowness(1.2));
    CHECK(is_about(service.pace_at(Slowness(0.6)).event_interval, 18ms));
    GIVEN("wrong values of another host")
    {
        for (u32 i = 0; i < 100; ++i)
            service.record_reported({ 1ms, 1ms, 1 }, Slowness(1.2));
        THEN("they change nothing") { CHECK(is_about(service.pace_at(Slowness(0.6)).event_interval, 18ms)); }
    }
}

SCENARIO("a report that is repeated or late counts once")
{
    Instant const now { 100s };
    KnownPace known;
    CHECK(known.merge_report({ Slowness(1.2), now }));
    CHECK_FALSE(known.merge_report({ Slowness(1.2), now + 5ms }));
    CHECK_FALSE(known.merge_report({ Slowness(3), now - 1s }));
    CHECK(known.merge_report({ Slowness(3), now + 1s }));
}
