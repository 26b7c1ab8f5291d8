/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PaceTable.h>
#include <catch2/catch.hpp>
#include <limits>

using namespace Overload;

namespace {

EngineId const engine("e1");
ServerStart const start(7);

PaceReport report_of(Duration event_interval, ServerStart of_start = start)
{
    return { engine, of_start, { event_interval, {}, {} } };
}

/// A host's table and its clock.
class Host {
public:
    void observe(Duration event_interval)
    {
        this->table.pace_of(engine, start).own.record_interval({ event_interval, false });
        this->table.record_observation(engine, this->now);
    }
    [[nodiscard]] std::optional<Duration> event_interval(ServerStart of_start = start)
    {
        return this->table.pace_of(engine, of_start).value().event_interval;
    }

    Instant now { 100s };
    PaceTable table;
};

}

SCENARIO("hosts agree on the speed of an engine, in whatever order their reports arrive")
{
    std::vector<PaceReport> const reports { report_of(90ms), report_of(36ms), report_of(37ms) };
    GIVEN("three hosts that receive the same reports in different orders, one of them twice")
    {
        for (auto const& order : std::vector<std::vector<size_t>> { { 0, 1, 2 }, { 2, 1, 0 }, { 1, 0, 2, 1, 0 } }) {
            Host host;
            for (auto const index : order)
                host.table.merge(reports[index], true, host.now);
            // The quickest report counts.
            CHECK(host.event_interval() == 36ms);
        }
    }
    GIVEN("a host with several observations of its own")
    {
        Host host;
        for (u32 i = 0; i < 4; ++i)
            host.observe(36ms);
        WHEN("another host reports a speed that is too high")
        {
            host.table.merge(report_of(9ms), true, host.now);
            THEN("its own observations count") { CHECK(host.event_interval() == 36ms); }
        }
    }
    GIVEN("a report about an earlier start that arrives late")
    {
        Host host;
        host.table.merge(report_of(16ms), true, host.now);
        WHEN("the engine has been replaced")
        {
            ServerStart const later(8);
            THEN("the later start inherits nothing") { CHECK_FALSE(host.event_interval(later)); }
        }
    }
}

SCENARIO("reports with impossible values change nothing")
{
    Host host;
    host.table.merge(report_of(36ms), true, host.now);
    for (auto const interval : { Duration(0), Duration(1), Duration(-5ms), Duration(1h) }) {
        host.table.merge(report_of(interval), true, host.now);
        CHECK(host.event_interval() == 36ms);
    }
    for (auto const rate :
        { 0.0, -1.0, 1e12, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        host.table.merge({ engine, start, { {}, {}, rate } }, true, host.now);
        CHECK_FALSE(host.table.pace_of(engine, start).value().prompt_tokens_per_second);
    }
}

SCENARIO("a host tells others what they don't know, once, and repeats it for a while")
{
    Host host;
    GIVEN("a host that has observed the speed of an engine")
    {
        host.observe(36ms);
        THEN("the hosts of its domain and other domains are to be told")
        {
            REQUIRE(host.table.take_unsent(PaceScope::Host).size() == 1);
            REQUIRE(host.table.take_unsent(PaceScope::Domain).size() == 1);
            CHECK(host.table.take_unsent(PaceScope::Host).empty());
            CHECK(host.table.take_unsent(PaceScope::Domain).empty());
        }
        AND_WHEN("it observes much the same again")
        {
            REQUIRE(host.table.take_unsent(PaceScope::Host).size() == 1);
            host.observe(35ms);
            THEN("there is nothing to tell") { CHECK(host.table.take_unsent(PaceScope::Host).empty()); }
        }
        AND_WHEN("its first observation turns out to be that of a slow machine")
        {
            REQUIRE(host.table.take_unsent(PaceScope::Host).size() == 1);
            host.observe(16ms);
            auto const reports = host.table.take_unsent(PaceScope::Host);
            THEN("the others are told again")
            {
                REQUIRE(reports.size() == 1);
                CHECK(reports.front().pace.event_interval == 16ms);
            }
        }
        THEN("full state messages repeat it for a second, in case a message was lost")
        {
            CHECK(host.table.recent(PaceScope::Host, host.now + 1s).size() == 1);
            CHECK(host.table.recent(PaceScope::Domain, host.now + 500ms).size() == 1);
            CHECK(host.table.recent(PaceScope::Host, host.now + 1min).empty());
            CHECK(host.table.recent(PaceScope::Domain, host.now + 1min).empty());
        }
        THEN("a host that has just started gets it at any time") { CHECK(host.table.all_own().size() == 1); }
    }
    GIVEN("a host that another host of its domain has told the speed of an engine")
    {
        host.table.merge(report_of(36ms), true, host.now);
        THEN("as a representative it tells other domains, but not its own domain")
        {
            CHECK(host.table.take_unsent(PaceScope::Domain).size() == 1);
            CHECK(host.table.take_unsent(PaceScope::Host).empty());
            CHECK(host.table.all_own().empty());
        }
        AND_WHEN("it observes the same speed itself")
        {
            host.observe(37ms);
            THEN("it tells nobody") { CHECK(host.table.take_unsent(PaceScope::Host).empty()); }
        }
    }
    GIVEN("a host that another domain has told the speed of an engine")
    {
        host.table.merge(report_of(36ms), false, host.now);
        THEN("it tells no other domain") { CHECK(host.table.take_unsent(PaceScope::Domain).empty()); }
    }
    GIVEN("an engine that is gone")
    {
        host.observe(36ms);
        host.table.retain([](EngineId const&, ServerStart) { return false; });
        THEN("nothing is kept")
        {
            CHECK(host.table.count() == 0);
            CHECK(host.table.take_unsent(PaceScope::Host).empty());
        }
    }
}
