/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PaceEstimator.h>
#include <catch2/catch.hpp>

using namespace Overload;

namespace {

/// One stream of an engine, and what a host estimates from it.
class ObservedStream {
public:
    void receive(Duration gap, bool is_reading = false)
    {
        if (auto const interval = this->gaps.record(gap, is_reading))
            this->estimator.record_interval(*interval);
    }
    void receive(u32 events, Duration gap, bool is_reading = false)
    {
        for (u32 i = 0; i < events; ++i)
            this->receive(gap, is_reading);
    }
    [[nodiscard]] bool is_about(std::optional<Duration> const& interval, Duration expected) const
    {
        return interval && *interval > expected * 0.9 && *interval < expected * 1.1;
    }
    [[nodiscard]] EnginePace pace() const { return this->estimator.pace(); }
    [[nodiscard]] std::optional<Slowness> slowness() const
    {
        return observed_slowness(this->gaps.latest(), this->pace());
    }

    EventGaps gaps;
    PaceEstimator estimator;
};

}

SCENARIO("the lasting speed of an engine is known after a few events of one stream")
{
    ObservedStream stream;
    GIVEN("a stream of an engine of which nothing is known")
    {
        THEN("its speed is unknown before the first events") { CHECK(stream.pace() == EnginePace {}); }
        WHEN("four events have arrived")
        {
            stream.receive(3, 36ms);
            THEN("the interval is known, and nothing else")
            {
                CHECK(stream.is_about(stream.pace().event_interval, 36ms));
                CHECK_FALSE(stream.pace().event_interval_while_reading);
                CHECK_FALSE(stream.pace().prompt_tokens_per_second);
            }
        }
        WHEN("the engine also reads a prompt")
        {
            stream.receive(3, 36ms);
            stream.receive(3, 73ms, true);
            THEN("both intervals are known")
            {
                CHECK(stream.is_about(stream.pace().event_interval, 36ms));
                CHECK(stream.is_about(stream.pace().event_interval_while_reading, 73ms));
            }
        }
        WHEN("the first events arrive while its machine is slow")
        {
            stream.receive(6, 90ms);
            stream.receive(6, 36ms);
            THEN("later events correct the estimate") { CHECK(stream.is_about(stream.pace().event_interval, 36ms)); }
        }
        WHEN("its machine is slow a sixth of the time, for a few hundred milliseconds each")
        {
            for (u32 i = 0; i < 12; ++i) {
                stream.receive(80, 36ms);
                stream.receive(6, 90ms);
            }
            THEN("the estimate stays") { CHECK(stream.is_about(stream.pace().event_interval, 36ms)); }
        }
    }
}

SCENARIO("events that arrive together after a stall don't make an engine look quick")
{
    ObservedStream stream;
    GIVEN("a stream whose events are held up every now and then")
    {
        for (u32 i = 0; i < 20; ++i) {
            stream.receive(5, 36ms);
            stream.receive(288ms);
            stream.receive(7, 50us);
        }
        THEN("the estimate is that of the undisturbed events")
        {
            CHECK(stream.is_about(stream.pace().event_interval, 36ms));
        }
    }
    GIVEN("a stream whose events arrive late and early by turns")
    {
        for (u32 i = 0; i < 20; ++i) {
            stream.receive(5ms);
            stream.receive(67ms);
        }
        THEN("there is no estimate") { CHECK(stream.pace() == EnginePace {}); }
    }
    GIVEN("a single late event of a stream of known speed")
    {
        stream.receive(6, 36ms);
        stream.receive(180ms);
        THEN("the engine does not count as slow")
        {
            REQUIRE(stream.slowness());
            CHECK(stream.slowness()->value() == Approx(1).epsilon(0.1));
        }
    }
}

SCENARIO("a prompt tells how fast an engine reads, also without a stream that follows")
{
    PaceEstimator estimator;
    GIVEN("one short generation")
    {
        estimator.record_prompt(TokenCount(2400), 300ms);
        THEN("the speed is known") { CHECK(*estimator.pace().prompt_tokens_per_second == Approx(8000)); }
        AND_WHEN("another one is read while the machine is slow")
        {
            estimator.record_prompt(TokenCount(2400), 750ms);
            THEN("the quicker one counts") { CHECK(*estimator.pace().prompt_tokens_per_second == Approx(8000)); }
        }
    }
    GIVEN("a prompt of a few tokens")
    {
        estimator.record_prompt(TokenCount(20), 10ms);
        THEN("its time tells nothing") { CHECK_FALSE(estimator.pace().prompt_tokens_per_second); }
    }
}

SCENARIO("an engine whose machine turns slow is noticed within two events")
{
    ObservedStream stream;
    GIVEN("a stream of an engine of unknown speed")
    {
        stream.receive(2, 90ms);
        THEN("nothing is known of its slowness") { CHECK_FALSE(stream.slowness()); }
    }
    GIVEN("a stream of an engine of known speed")
    {
        stream.receive(6, 36ms);
        WHEN("its events become 2.5 times as slow")
        {
            stream.receive(2, 90ms);
            THEN("the slowness is known") { CHECK(stream.slowness()->value() == Approx(2.5)); }
        }
        WHEN("it begins to read a prompt")
        {
            stream.receive(2, 73ms, true);
            THEN("longer intervals are not mistaken for a slow machine") { CHECK_FALSE(stream.slowness()); }
        }
    }
}

SCENARIO("what was observed of a slow machine loses weight until the server counts as usual")
{
    Instant const now { 100s };
    SlownessReading const reading { Slowness(2.5), now };
    CHECK(expected_slowness({}, now) == usual_slowness);
    CHECK(expected_slowness(reading, now).value() == Approx(2.5));
    CHECK(expected_slowness(reading, now + slowness_lifetime / 2).value() == Approx(1.75));
    CHECK(expected_slowness(reading, now + slowness_lifetime).value() == Approx(1));
    CHECK(expected_slowness(reading, now + 1h).value() == Approx(1));
    // A reading from the future, by another host's clock.
    CHECK(expected_slowness(reading, now - 1h).value() == Approx(2.5));
}
