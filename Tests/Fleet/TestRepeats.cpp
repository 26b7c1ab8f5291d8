/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

// In a deployment of 66 hosts, a service got more repeated dispatches within ten seconds than all hosts together may
// send, while engines refused connections and hosts restarted. Each host kept its own share, but the shares added up to
// more than the bound, for two reasons. A host that had just started divided the allowance by the eight hosts of its
// setting instead of 66, and did not know what it had spent before. A bucket also held half a window's worth of saved
// repeats in addition to those that the window itself earned. These tests show that either reason suffices. The hosts'
// logs show that there was no other: their granted repeats add up to the arrivals that the service saw
// (docs/incidents/repeats-beyond-the-allowance.md).

#include <Tests/Fleet/ModelFleet.h>
#include <rapidcheck/catch.h>

using Test::ModelFleet;

static void check_bound(ModelFleet const& fleet)
{
    auto const worst = fleet.worst_window();
    INFO(worst.repeats << " repeats for " << worst.requests << " requests; " << worst.allowed << " are allowed");
    CHECK(worst.excess() <= 0);
}

SCENARIO("all hosts together repeat no more than the bound allows")
{
    ModelFleet fleet({});
    GIVEN("hosts that know each other and have not repeated any request for a while")
    {
        fleet.run(30s);
        WHEN("most dispatches fail")
        {
            fleet.set_failure_rate(0.9);
            fleet.run(25s);
            check_bound(fleet);
            THEN("much of the allowance is used") { CHECK(fleet.worst_window().repeats > 200); }
        }
        WHEN("most dispatches fail, and all hosts are killed meanwhile")
        {
            fleet.set_failure_rate(0.9);
            fleet.run(5s);
            fleet.restart(1);
            fleet.run(15s);
            check_bound(fleet);
        }
        WHEN("some of the hosts are killed every second while dispatches fail")
        {
            fleet.set_failure_rate(0.9);
            for (int i = 0; i < 12; ++i) {
                fleet.restart(0.3);
                fleet.run(1s);
            }
            check_bound(fleet);
        }
        WHEN("hosts are added while dispatches fail")
        {
            fleet.set_failure_rate(0.9);
            for (int i = 0; i < 33; ++i)
                fleet.add_host();
            fleet.run(25s);
            check_bound(fleet);
        }
        WHEN("a domain is partitioned, and hosts of all domains restart meanwhile")
        {
            fleet.partition_domain(1);
            fleet.run(5s);
            fleet.restart(0.5);
            fleet.set_failure_rate(0.9);
            fleet.run(30s);
            check_bound(fleet);
        }
        WHEN("hosts restart while the platform is unavailable")
        {
            fleet.set_platform_unavailable(true);
            fleet.restart(0.7);
            fleet.set_failure_rate(0.9);
            fleet.run(25s);
            check_bound(fleet);
        }
        WHEN("hosts restart and reach neither each other nor the platform")
        {
            fleet.isolate_all();
            fleet.restart(1);
            fleet.set_failure_rate(0.9);
            fleet.run(25s);
            check_bound(fleet);
        }
        WHEN("the load falls while dispatches fail")
        {
            fleet.set_failure_rate(0.9);
            fleet.set_load(3);
            fleet.run(8s);
            fleet.set_load(0.1);
            fleet.run(20s);
            check_bound(fleet);
        }
    }
    GIVEN("hosts that have all just started")
    {
        fleet.set_failure_rate(0.9);
        fleet.run(25s);
        check_bound(fleet);
    }
}

SCENARIO("more hosts than repeats in the allowance keep the bound")
{
    ModelFleet::Shape shape;
    shape.hosts = 120;
    shape.domains = 5;
    shape.limits = { 0.2, 100, 10s, 8 };
    shape.requests_per_second = GENERATE(30, 600);
    ModelFleet fleet(shape);
    fleet.run(30s);
    fleet.set_failure_rate(0.9);
    WHEN("they are not disturbed") { fleet.run(25s); }
    WHEN("hosts join, so that others get the dealt repeats")
    {
        for (int i = 0; i < 40; ++i) {
            fleet.add_host();
            fleet.run(500ms);
        }
    }
    WHEN("some are killed every second")
    {
        for (int i = 0; i < 15; ++i) {
            fleet.restart(0.3);
            fleet.run(1s);
        }
    }
    WHEN("a domain is partitioned, and the load changes")
    {
        fleet.partition_domain(1);
        fleet.set_load(5);
        fleet.run(6s);
        fleet.set_load(0.2);
        fleet.run(20s);
    }
    check_bound(fleet);
    CHECK(fleet.repeat_count() > 20);
}

SCENARIO("few hosts, each with a large part, repeat no more than the bound allows")
{
    ModelFleet::Shape shape;
    shape.hosts = 8;
    ModelFleet fleet(shape);
    fleet.run(30s);
    fleet.set_failure_rate(0.9);
    fleet.run(3s);
    WHEN("all of them are killed once they have spent their share")
    {
        fleet.restart(1);
        fleet.run(15s);
        check_bound(fleet);
    }
    WHEN("they keep running")
    {
        fleet.run(20s);
        check_bound(fleet);
    }
}

SCENARIO("any series of restarts, new hosts, cuts, loads and failures keeps the bound")
{
    rc::prop("of fleets of any size", [] {
        ModelFleet::Shape shape;
        shape.hosts = *rc::gen::inRange<u32>(2, 80);
        shape.domains = *rc::gen::inRange<u32>(1, 4);
        shape.limits.allowance = *rc::gen::inRange(20, 300);
        shape.requests_per_second = *rc::gen::inRange(10, 200);
        shape.seed = *rc::gen::inRange<u32>(1, 100'000);
        ModelFleet fleet(shape);
        auto const steps = *rc::gen::container<std::vector<u8>>(20, rc::gen::inRange<u8>(0, 13));
        for (auto what : steps) {
            constexpr std::array loads { 0.2, 1.0, 2.5 };
            constexpr std::array failures { 0.0, 0.5, 0.95 };
            if (what < 3)
                fleet.set_load(loads[what]);
            else if (what < 6)
                fleet.set_failure_rate(failures[what - 3]);
            else if (what < 8)
                fleet.restart(what == 6 ? 1 : 0.3);
            else if (what == 8)
                fleet.partition_domain(shape.seed);
            else if (what == 9)
                fleet.heal();
            else if (what < 12)
                fleet.set_platform_unavailable(what == 10);
            else
                fleet.add_host();
            fleet.run(1500ms);
        }
        RC_ASSERT(fleet.worst_window().excess() <= 0);
    });
}
