/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/RequestAccount.h>
#include <catch2/catch.hpp>

using namespace Account;

static LogLine line(std::string const& text)
{
    auto parsed = parse_log_line(text);
    REQUIRE(parsed);
    REQUIRE(parsed.value());
    return *parsed.value();
}

static RequestTrace trace_of(std::vector<std::string> const& lines)
{
    RequestAccount account;
    for (auto const& text : lines)
        account.add(line(text));
    auto traces = account.traces();
    REQUIRE(traces.size() == 1);
    return traces.front();
}

SCENARIO("a line of a structured log is parsed despite text before it")
{
    auto read = line("  11.97 front-1 ms=1792430660948 event=E2204 stream_failed subject=g1 events=7 "
                     "reason=\"its \\\"engine\\\" ended\" moving=0");
    CHECK(read.host == "front-1");
    CHECK(read.milliseconds == 1792430660948);
    CHECK(read.event == Core::EventNumber::StreamFailed);
    CHECK(read.subject == "g1");
    CHECK(read.number("events") == 7);
    CHECK(read.text("reason") == "its \"engine\" ended");
    CHECK_FALSE(read.number("reason").has_value());
    CHECK_FALSE(read.number("missing").has_value());

    WHEN("it is not part of a structured log")
    {
        auto other = parse_log_line("played in 2.6 s");
        REQUIRE(other);
        CHECK_FALSE(other.value().has_value());
    }
    WHEN("it is truncated")
    {
        CHECK_FALSE(parse_log_line("ms=17 event=E2204 stream_failed subject=g1 reason=\"its eng"));
        CHECK_FALSE(parse_log_line("ms= event=E2204 stream_failed"));
    }
}

SCENARIO("the outcome of a generation is derived from its log lines")
{
    std::vector<std::string> lines {
        "ms=1000 event=E2001 request_received subject=g1 route=drafts goal_ms=1800 left_ms=39000",
        "ms=1000 event=E2102 generation_placed subject=g1 engine=e1",
        "ms=1400 event=E2201 first_token_delivered subject=g1 engine=e1 waited_ms=400",
    };
    std::string const end = "ms=9000 event=E2203 stream_ended subject=g1 how=complete events=200 pause_goal_ms=180 ";

    WHEN("it completes")
    {
        lines.push_back(end + "longest_gap_ms=60");
        CHECK(trace_of(lines).outcome == Outcome::InTime);
        CHECK(trace_of(lines).reason.empty());
    }
    WHEN("a move takes too long")
    {
        lines.push_back("ms=4000 event=E2110 generation_moved subject=g1 from=e1 to=e2 paused_ms=300");
        lines.push_back(end + "longest_gap_ms=300");
        CHECK(trace_of(lines).outcome == Outcome::Late);
        CHECK(trace_of(lines).reason == "pause of a move");
    }
    WHEN("its first event is late")
    {
        lines[2] = "ms=3400 event=E2201 first_token_delivered subject=g1 engine=e1 waited_ms=2400";
        lines.push_back(end + "longest_gap_ms=60");
        CHECK(trace_of(lines).outcome == Outcome::Late);
    }
    WHEN("its engine terminates")
    {
        lines.push_back("ms=5000 event=E2204 stream_failed subject=g1 reason=\"its engine ended\"");
        CHECK(trace_of(lines).outcome == Outcome::Interrupted);
        CHECK(trace_of(lines).reason == "its engine ended");
    }
    WHEN("the log ends first")
    {
        CHECK(trace_of(lines).outcome == Outcome::HostTerminated);
        CHECK(trace_of(lines).is_generation);
        CHECK(trace_of(lines).lines.size() == 3);
    }
}

SCENARIO("outcomes of calls are counted by time and route")
{
    RequestAccount account;
    auto add_line = [&](std::string const& text) { account.add(line(text)); };
    add_line("ms=1000 event=E2001 request_received subject=c1 route=lookup goal_ms=150");
    add_line("ms=1040 event=E2402 service_call_ended subject=c1 status=200 tries=1 held_ms=40");
    add_line("ms=1100 event=E2001 request_received subject=c2 route=lookup goal_ms=150");
    add_line("ms=1400 event=E2402 service_call_ended subject=c2 status=200 tries=2 held_ms=300");
    add_line("ms=1200 event=E2001 request_received subject=c3 route=lookup goal_ms=150");
    add_line("ms=1240 event=E2402 service_call_ended subject=c3 status=500 tries=2 held_ms=40");
    add_line("ms=2100 event=E2001 request_received subject=c4 route=lookup goal_ms=150");
    add_line("ms=2200 event=E2002 request_refused subject=c4 status=503 reason=\"send it again\"");
    add_line("ms=2150 event=E2001 request_received subject=c5 route=lookup goal_ms=150");
    add_line("ms=3150 event=E2002 request_refused subject=c5 status=504 reason=\"it may have run\"");
    auto traces = account.traces();
    CHECK(traces[2].outcome == Outcome::FailedByServer);
    CHECK(traces[3].outcome == Outcome::Refused);
    CHECK(traces[4].outcome == Outcome::Failed);

    auto rows = count_by_time(traces, 1000);
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].from == 0);
    CHECK(rows[0].counts[static_cast<size_t>(Outcome::InTime)] == 1);
    CHECK(rows[0].counts[static_cast<size_t>(Outcome::Late)] == 1);
    CHECK(rows[0].counts[static_cast<size_t>(Outcome::FailedByServer)] == 1);
    CHECK(rows[1].from == 1000);
    CHECK(rows[1].counts[static_cast<size_t>(Outcome::Refused)] == 1);
}
