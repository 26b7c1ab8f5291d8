/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHistory/History.h>
#include <catch2/catch.hpp>

using History::Record;

static Record sound_record()
{
    Record record;
    auto read = History::read_lines(
        R"({"kind":"generation","generation":"g1","outcome":"completed","offsets":[0,1],"tokens":["a ","b "]}
{"kind":"generation","generation":"g2","outcome":"may_have_run","offsets":[0],"tokens":["c "]}
{"kind":"generation","generation":"g3","outcome":"not_run","offsets":[],"tokens":[]}
{"execution":"e1","generation":"g1","attempt":1,"finished":true,"tokens":["a ","b "]}
{"execution":"e2","generation":"g2","attempt":1,"finished":false,"tokens":["c ","d "]}
{"kind":"call","call":"c1","key":"k1","repeatable":false,"outcome":"completed"}
{"kind":"call","call":"c2","key":"","repeatable":false,"outcome":"not_run"}
{"call":"c1","key":"k1","path":"/charges"}
{"kind":"revision","member":"m","incarnation":1,"revision":4}
{"kind":"revision","member":"m","incarnation":1,"revision":6}
{"kind":"revision","member":"m","incarnation":2,"revision":5}
)",
        record);
    REQUIRE(read.has_value());
    return record;
}

static std::vector<std::string> violated_promises(Record const& record)
{
    std::vector<std::string> names;
    for (auto const& violation : History::check_all(record))
        names.push_back(violation.promise);
    return names;
}

SCENARIO("the checker passes a sound history and catches each planted violation")
{
    auto record = sound_record();
    CHECK(violated_promises(record).empty());

    SECTION("a token delivered twice")
    {
        record.generations[0].offsets = { 0, 0 };
        CHECK(violated_promises(record) == std::vector<std::string> { "exactly once, in order" });
    }
    SECTION("a token missing")
    {
        record.generations[0].offsets = { 0, 2 };
        CHECK(violated_promises(record) == std::vector<std::string> { "exactly once, in order" });
    }
    SECTION("tokens of two executions")
    {
        record.executions.push_back({ "e3", "g1", 2, true, { "a ", "x " } });
        record.executions[0].tokens = { "y ", "b " };
        CHECK(violated_promises(record) == std::vector<std::string> { "from a single generation, whole" });
    }
    SECTION("a response reported as complete that is partial")
    {
        record.generations[0].offsets = { 0 };
        record.generations[0].tokens = { "a " };
        CHECK(violated_promises(record) == std::vector<std::string> { "from a single generation, whole" });
    }
    SECTION("a generation that ran and was reported as not run")
    {
        record.executions.push_back({ "e4", "g3", 1, false, {} });
        CHECK(violated_promises(record) == std::vector<std::string> { "not run means not run" });
    }
    SECTION("a call that ran and was reported as not run")
    {
        record.service_executions.push_back({ "c2", "", "/charges" });
        CHECK(violated_promises(record) == std::vector<std::string> { "not run means not run" });
    }
    SECTION("a call that ran twice")
    {
        record.service_executions.push_back({ "c1", "", "/charges" });
        CHECK(violated_promises(record) == std::vector<std::string> { "at most once" });
    }
    SECTION("a key that ran twice, by two calls")
    {
        record.service_executions.push_back({ "c9", "k1", "/charges" });
        CHECK(violated_promises(record) == std::vector<std::string> { "at most once" });
    }
    SECTION("a revision that reverted")
    {
        record.revisions.push_back({ "m", 2, 4 });
        CHECK(violated_promises(record) == std::vector<std::string> { "never reverts" });
    }
}

SCENARIO("a line that is not part of a history is an error")
{
    Record record;
    CHECK_FALSE(History::read_lines("{\n", record).has_value());
}
