/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/VersionComparison.h>
#include <catch2/catch.hpp>

using namespace Rollout;

namespace {

Answers answers(u64 count, u64 failures, Duration usual = 20ms, u64 slow = 0)
{
    Answers result;
    result.count = count;
    result.failures = failures;
    for (u64 i = 0; i < count; ++i)
        result.response_times.record(i < slow ? 6 * usual : usual);
    return result;
}

}

SCENARIO("two versions are compared by their answers")
{
    AnswersByRoute both;
    auto& route = both[RouteName("lookup")];
    route.former = answers(400, 4);
    WHEN("the target answers as the former version does")
    {
        route.target = answers(40, 1);
        CHECK_FALSE(compare(both).fault);
        CHECK(compare(both).target_answers == 40);
    }
    WHEN("many answers of the target fail")
    {
        route.target = answers(30, 10);
        REQUIRE(compare(both).fault);
        THEN("the reason names the route and the counts")
        {
            CHECK(compare(both).fault->find("route lookup") != std::string::npos);
            CHECK(compare(both).fault->find("10 of 30") != std::string::npos);
        }
    }
    WHEN("two answers of the target fail")
    {
        route.target = answers(2, 2);
        THEN("that may be chance") { CHECK_FALSE(compare(both).fault); }
    }
    WHEN("as many answers of the former version fail")
    {
        route.former = answers(400, 130);
        route.target = answers(30, 10);
        CHECK_FALSE(compare(both).fault);
    }
    WHEN("many answers of the target take several times as long")
    {
        route.target = answers(30, 0, 20ms, 12);
        REQUIRE(compare(both).fault);
        CHECK(compare(both).fault->find("slow answers") != std::string::npos);
    }
    WHEN("the answers of both versions have become slow")
    {
        route.former = answers(400, 0, 20ms, 150);
        route.target = answers(30, 0, 20ms, 12);
        CHECK_FALSE(compare(both).fault);
    }
    WHEN("another route is slower for both versions")
    {
        both[RouteName("claims")] = { answers(100, 0, 2s), answers(10, 0, 2s) };
        route.target = answers(30, 0);
        CHECK_FALSE(compare(both).fault);
    }
    WHEN("the events of the target's streams come slowly")
    {
        for (int i = 0; i < 50; ++i)
            route.former.event_gaps.record(30ms);
        for (int i = 0; i < 20; ++i)
            route.target.event_gaps.record(i % 2 == 0 ? 150ms : 30ms);
        REQUIRE(compare(both).fault);
        CHECK(compare(both).fault->find("slow events") != std::string::npos);
    }
    WHEN("the former version has hardly any answers")
    {
        route.former = answers(3, 0);
        route.target = answers(30, 0, 200ms);
        THEN("its usual times are not known") { CHECK_FALSE(compare(both).fault); }
    }
}

SCENARIO("counts of a restarted host do not produce answers out of nothing")
{
    AnswersByRoute earlier;
    earlier[RouteName("lookup")].target = answers(50, 20);
    AnswersByRoute now;
    now[RouteName("lookup")].target = answers(10, 1);
    auto const recent = since(now, earlier);
    CHECK(recent.at(RouteName("lookup")).target.count == 0);
    CHECK(recent.at(RouteName("lookup")).target.failures == 0);
}
