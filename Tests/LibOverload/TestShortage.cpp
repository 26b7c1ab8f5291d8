/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/Shortage.h>
#include <catch2/catch.hpp>

using namespace Overload;

static constexpr Duration message_delay = 3ms;

SCENARIO("a burst leaves no capacity for the most urgent generations of a service")
{
    Shortage shortage;
    Instant now { 100s };
    CHECK_FALSE(shortage.is_present(now));
    CHECK_FALSE(shortage.report(SignScope::Host, now).has_value());

    GIVEN("a generation that was refused")
    {
        CHECK(shortage.record_sign(2, now) == Shortage::Change::Began);
        CHECK(shortage.is_present(now));
        THEN("further signs continue the same shortage, and the most urgent one gives it its priority")
        {
            now += 1s;
            CHECK(shortage.record_sign(0, now) == Shortage::Change::None);
            CHECK(shortage.age(now) == 1s);
            CHECK(shortage.priority() == 0);
        }
        THEN("it ends when no further sign was observed for the quiet time")
        {
            now += Shortage::quiet_time;
            CHECK(shortage.update(now) == Shortage::Change::None);
            CHECK(shortage.is_present(now));
            now += 1ms;
            CHECK_FALSE(shortage.is_present(now));
            CHECK(shortage.update(now) == Shortage::Change::Ended);
            CHECK(shortage.update(now) == Shortage::Change::None);
            AND_THEN("the next sign begins another one")
            {
                CHECK(shortage.record_sign(2, now) == Shortage::Change::Began);
                CHECK(shortage.age(now) == 0s);
            }
        }
    }
    GIVEN("the report of another host of the domain")
    {
        ShortageReport const report { 500ms, 3s, 0, 2 };
        CHECK(shortage.apply(MemberId("b"), SignScope::Host, report, now) == Shortage::Change::Began);
        CHECK(shortage.age(now) == 3s);
        CHECK(shortage.hosts_with_waiting(now) == 1);
        THEN("this host reports no sign of its own, but its domain's")
        {
            CHECK_FALSE(shortage.report(SignScope::Host, now).has_value());
            CHECK(shortage.report(SignScope::Domain, now)->age == 500ms);
        }
        THEN("the same report that arrives again does not prolong it")
        {
            now += Shortage::quiet_time;
            CHECK_FALSE(shortage.is_present(now));
            CHECK(shortage.update(now) == Shortage::Change::Ended);
            CHECK(shortage.hosts_with_waiting(now) == 0);
        }
    }
    GIVEN("a report that is older than the quiet time")
    {
        ShortageReport const report { Shortage::quiet_time + 1ms, 60s, 0, 0 };
        CHECK(shortage.apply(MemberId("b"), SignScope::Host, report, now) == Shortage::Change::None);
        CHECK_FALSE(shortage.is_present(now));
    }
    GIVEN("a report of another domain")
    {
        CHECK(
            shortage.apply(MemberId("hall-b"), SignScope::Domain, { 0ms, 0ms, 2, 0 }, now) == Shortage::Change::Began);
        THEN("this domain does not report it as its own")
        {
            CHECK_FALSE(shortage.report(SignScope::Domain, now).has_value());
        }
    }
}

SCENARIO("two domains that tell each other of a shortage do not keep it alive")
{
    Shortage here;
    Shortage there;
    Instant now { 100s };
    here.record_sign(0, now);
    for (int round = 0; round < 100; ++round) {
        if (auto const report = here.report(SignScope::Domain, now))
            there.apply(MemberId("hall-a"), SignScope::Domain, *report, now + message_delay);
        if (auto const report = there.report(SignScope::Domain, now))
            here.apply(MemberId("hall-b"), SignScope::Domain, *report, now + message_delay);
        now += 200ms;
    }
    CHECK_FALSE(here.is_present(now));
    CHECK_FALSE(there.is_present(now));
}
