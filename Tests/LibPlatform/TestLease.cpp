/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Clock.h>
#include <LibPlatform/FaultyTable.h>
#include <LibPlatform/Lease.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Platform::Fault;
using Platform::FaultyTable;
using Platform::Lease;
using Platform::MemoryTable;

static constexpr Duration term = 15s;
static constexpr Duration margin = 3s;

SCENARIO("one holder at a time gives orders")
{
    Core::ManualClock clock;
    auto now = [&clock] { return clock.now(); };
    MemoryTable table;
    FaultyTable view(table);
    Lease first("lease/hall-a", "router-1", term, margin, 100);
    Lease second("lease/hall-a", "router-2", term, margin, 200);
    Platform::keep_lease(first, view, now);
    REQUIRE(first.may_act(clock.now()));
    CHECK(first.epoch() == Epoch(1));

    WHEN("another contends while the first is alive")
    {
        Platform::keep_lease(second, view, now);
        clock.advance(term);
        Platform::keep_lease(first, view, now);
        clock.advance(term);
        Platform::keep_lease(second, view, now);
        CHECK_FALSE(second.may_act(clock.now()));
    }
    WHEN("the first is paused past its term")
    {
        Platform::keep_lease(second, view, now);
        clock.advance(term + margin);
        THEN("its own clock tells it that it may not act") { CHECK_FALSE(first.may_act(clock.now())); }
        THEN("another takes over with a higher epoch, and the first does not regain the lease")
        {
            Platform::keep_lease(second, view, now);
            CHECK(second.may_act(clock.now()));
            CHECK(second.epoch() == Epoch(2));
            Platform::keep_lease(first, view, now);
            CHECK_FALSE(first.may_act(clock.now()));
        }
    }
    WHEN("the response to a renewal is lost")
    {
        clock.advance(term / 3);
        view.script({ Fault::None, Fault::LoseResponse });
        Platform::keep_lease(first, view, now);
        THEN("reading the row back resolves it")
        {
            clock.advance(term - margin - 1s);
            CHECK(first.may_act(clock.now()));
            CHECK(first.epoch() == Epoch(1));
        }
    }
    WHEN("the platform is unavailable")
    {
        view.set_standing_fault(Fault::Unavailable);
        clock.advance(term);
        Platform::keep_lease(first, view, now);
        CHECK_FALSE(first.may_act(clock.now()));
    }
}

TEST_CASE("pauses, lost answers and outages never make two holders, and epochs only grow", "[property]")
{
    rc::prop("lease", [] {
        MemoryTable table;
        Core::ManualClock clock;
        std::vector<FaultyTable> views;
        std::vector<Lease> leases;
        for (u64 i = 0; i < 3; ++i) {
            views.emplace_back(table);
            leases.emplace_back("lease", "router-" + std::to_string(i), term, margin, (i + 1) << 32);
        }
        Epoch highest;
        std::optional<size_t> last_actor;
        auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            auto who = *rc::gen::inRange<size_t>(0, leases.size());
            std::deque<Fault> faults;
            for (int call = 0; call < 3; ++call)
                faults.push_back(*rc::gen::weightedElement<Fault>({ { 5, Fault::None }, { 1, Fault::Unavailable },
                    { 2, Fault::LoseResponse }, { 1, Fault::LoseRequest } }));
            views[who].script(faults);
            auto pause = *rc::gen::inRange(0, 4);
            // Time passes whenever keep_lease() reads the clock.
            Platform::keep_lease(leases[who], views[who], [&] {
                clock.advance(std::chrono::seconds(pause));
                return clock.now();
            });
            views[who].script({});
            clock.advance(std::chrono::seconds(*rc::gen::inRange(0, 12)));
            size_t holders = 0;
            for (size_t j = 0; j < leases.size(); ++j) {
                if (!leases[j].may_act(clock.now()))
                    continue;
                ++holders;
                RC_ASSERT(leases[j].epoch() >= highest);
                // Successive holders never share an epoch.
                if (last_actor && *last_actor != j)
                    RC_ASSERT(leases[j].epoch() > highest);
                highest = leases[j].epoch();
                last_actor = j;
            }
            RC_ASSERT(holders <= 1u);
        }
    });
}
