/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibRollout/RolloutFleet.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Rollout::Stage;
using Test::RecordStore;
using Test::RolloutFleet;

namespace {

constexpr Duration rollback_limit = 5s;

std::vector<u32> const fleet_sizes { 8, 66, 300, 1000 };

void check_exposure(RolloutFleet const& fleet)
{
    INFO(fleet.target_requests() << " of " << fleet.all_requests() << " requests reached the target");
    CHECK(static_cast<double>(fleet.target_requests()) <= fleet.allowed_target_requests());
    CHECK(fleet.late_target_requests(rollback_limit) == 0);
}

/// The operator has seen the roll-out begin and end once.
void check_statuses(RolloutFleet const& fleet, std::string const& end)
{
    CHECK(fleet.store.statuses() == std::vector<std::string> { "trial", end });
}

}

SCENARIO("a sound version takes over all traffic in the time allowed")
{
    for (auto size : fleet_sizes) {
        GIVEN(std::to_string(size) + " hosts")
        {
            RolloutFleet fleet({ size, 60, 12s, size });
            fleet.give_order();
            fleet.run(16s);
            CHECK(fleet.stage() == Stage::Completed);
            check_statuses(fleet, "completed");
            REQUIRE(fleet.finished_after());
            CHECK(*fleet.finished_after() <= 12s);
        }
    }
}

SCENARIO("a bad version is rolled back before it gets more than its share")
{
    for (auto size : fleet_sizes) {
        RolloutFleet fleet({ size, 60, 12s, size });
        auto const run = [&] {
            fleet.give_order();
            fleet.run(20s);
            CHECK(fleet.stage() == Stage::RolledBack);
            check_statuses(fleet, "rolled_back");
            check_exposure(fleet);
        };
        GIVEN("one that fails from the start, with " + std::to_string(size) + " hosts")
        {
            fleet.fails = [](RolloutFleet const&, bool) { return 0.4; };
            run();
        }
        GIVEN("one that answers several times slower, with " + std::to_string(size) + " hosts")
        {
            fleet.is_slow = [](RolloutFleet const&, bool) { return 0.5; };
            run();
        }
        GIVEN("one that fails on a single route only, with " + std::to_string(size) + " hosts")
        {
            fleet.fails = [](RolloutFleet const&, bool is_first_route) { return is_first_route ? 0.6 : 0.0; };
            run();
        }
        GIVEN("one that fails after some seconds, with " + std::to_string(size) + " hosts")
        {
            fleet.fails = [](RolloutFleet const& at, bool) { return at.since_order() > 4s ? 0.4 : 0.0; };
            run();
        }
        GIVEN("one that fails under load, with " + std::to_string(size) + " hosts")
        {
            fleet.fails = [](RolloutFleet const& at, bool) { return at.share_of_target() > 0.15 ? 0.4 : 0.0; };
            run();
        }
    }
}

SCENARIO("a fault of both versions is not the target's")
{
    RolloutFleet fleet({ 66, 60, 12s, 7 });
    fleet.common_failures = 0.3;
    fleet.give_order();
    fleet.run(16s);
    CHECK(fleet.stage() == Stage::Completed);
}

SCENARIO("a roll-out ends once although its owners fail")
{
    bool const is_bad = GENERATE(false, true);
    RolloutFleet fleet({ 66, 60, 12s, is_bad ? 3U : 4U });
    if (is_bad)
        fleet.fails = [](RolloutFleet const&, bool) { return 0.4; };
    std::string const end = is_bad ? "rolled_back" : "completed";
    GIVEN("an owner that is killed after each record")
    {
        u64 last_version = 0;
        fleet.on_step = [&](RolloutFleet& at) {
            if (std::exchange(last_version, at.store.record_version()) != at.store.record_version())
                at.kill_owner();
        };
        fleet.give_order();
        fleet.run(30s);
        check_statuses(fleet, end);
    }
    GIVEN("an owner that is killed before the response to each write")
    {
        u64 last_version = 0;
        fleet.on_step = [&](RolloutFleet& at) {
            bool const has_written
                = std::exchange(last_version, at.store.record_version()) != at.store.record_version();
            at.store.set_mode(has_written ? RecordStore::Mode::Serving : RecordStore::Mode::LosesResponses);
            if (has_written)
                at.kill_owner();
        };
        fleet.give_order();
        fleet.run(30s);
        check_statuses(fleet, end);
    }
    GIVEN("three hosts that all believe to be the owner")
    {
        fleet.set_owner_count(3);
        fleet.give_order();
        fleet.run(30s);
        check_statuses(fleet, end);
    }
    GIVEN("a store that is away for some seconds")
    {
        fleet.on_step = [](RolloutFleet& at) {
            bool const is_away = at.since_order() > 3s && at.since_order() < 9s;
            at.store.set_mode(is_away ? RecordStore::Mode::Away : RecordStore::Mode::Serving);
        };
        fleet.give_order();
        fleet.run(30s);
        check_statuses(fleet, end);
    }
    GIVEN("a store that carries out writes late")
    {
        fleet.on_step = [](RolloutFleet& at) {
            auto const second = AK::to_milliseconds(at.since_order()) / 1000;
            at.store.set_mode(second % 4 == 1 ? RecordStore::Mode::WritesLate : RecordStore::Mode::Serving);
            if (second % 4 == 3)
                at.store.apply_late_writes();
        };
        fleet.give_order();
        fleet.run(30s);
        check_statuses(fleet, end);
    }
}

SCENARIO("any series of lost owners and store faults leaves one end of a roll-out")
{
    rc::prop("of a good or a bad version", [] {
        RolloutFleet::Shape shape;
        shape.hosts = *rc::gen::inRange<u32>(2, 40);
        shape.seed = *rc::gen::inRange<u32>(1, 100'000);
        RolloutFleet fleet(shape);
        bool const is_bad = *rc::gen::arbitrary<bool>();
        if (is_bad)
            fleet.fails = [](RolloutFleet const&, bool) { return 0.5; };
        fleet.give_order();
        auto const faults = *rc::gen::container<std::vector<u8>>(12, rc::gen::inRange<u8>(0, 7));
        for (auto fault : faults) {
            using enum RecordStore::Mode;
            constexpr std::array modes { Serving, Away, LosesResponses, WritesLate };
            if (fault < modes.size())
                fleet.store.set_mode(modes[fault]);
            else if (fault == 4)
                fleet.store.apply_late_writes();
            else if (fault == 5)
                fleet.kill_owner();
            else
                fleet.set_owner_count(2);
            fleet.run(1200ms);
        }
        fleet.store.set_mode(RecordStore::Mode::Serving);
        fleet.run(25s);
        fleet.store.apply_late_writes();
        fleet.run(1s);
        RC_ASSERT(fleet.store.statuses().size() == 2U);
        RC_ASSERT(fleet.store.statuses().front() == "trial");
        RC_ASSERT(is_final(fleet.stage()));
        if (is_bad)
            RC_ASSERT(fleet.stage() == Stage::RolledBack);
    });
}
