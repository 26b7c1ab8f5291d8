/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/ReturnPlan.h>
#include <LibOverload/ReturningCallers.h>
#include <catch2/catch.hpp>

using namespace Overload;
using Basis = ReturnTime::Basis;

namespace {

constexpr ReturnDemand demand { 1, 3000, 2500 };
constexpr RefusedGeneration draft { demand, 4s, 500ms, 0s, 39s };
constexpr RefusedGeneration tag { demand, 1500ms, 300ms, 0s, 6s };

/// A plan of a host that has seen generations of 3,000 tokens that run for two seconds.
struct KnownPlan : ReturnPlan {
    explicit KnownPlan(Instant now)
    {
        for (int i = 0; i < 10; ++i)
            this->record_ended({ 3000, 2500, 2s }, now);
    }
};

/// Releases a generation in 20 ms; a quarter of that is for callers who return.
constexpr PoolUse large_pool { 300'000, 100, 1 };
/// Releases a generation in half a second, or one in two seconds for callers who return.
constexpr PoolUse small_pool { 12'000, 4, 1 };

}

SCENARIO("a host forecasts what all engines release from its own few generations")
{
    Instant now { 100s };
    Turnover turnover;

    SECTION("nothing is known before some have ended")
    {
        turnover.record({ 3000, 2500, 2s }, now);
        CHECK(!turnover.released_part(now));
        CHECK(!turnover.ending_part(now));
    }
    SECTION("generations that run for two seconds release half of what they hold per second")
    {
        for (int i = 0; i < 5; ++i)
            turnover.record({ 3000, 3000, 2s }, now);
        CHECK(turnover.released_part(now).value() == Approx(0.5));
        CHECK(turnover.ending_part(now).value() == Approx(0.5));
        CHECK(turnover.read_per_generation(now).value() == Approx(1500));
        THEN("it is unknown again when they are long past") { CHECK(!turnover.released_part(now + 5min)); }
    }
    SECTION("long generations hold most of the memory, and count by what they hold")
    {
        for (int i = 0; i < 5; ++i) {
            turnover.record({ 1000, 1000, 1s }, now);
            turnover.record({ 1000, 1000, 9s }, now);
        }
        CHECK(turnover.released_part(now).value() == Approx(0.2));
    }
    SECTION("impossible values are ignored")
    {
        for (int i = 0; i < 5; ++i) {
            turnover.record({ 0, 0, 1s }, now);
            turnover.record({ 1000, -1, 1s }, now);
            turnover.record({ 1000, 1000, -1s }, now);
        }
        CHECK(!turnover.released_part(now));
    }
}

SCENARIO("hosts that share a domain share its slots")
{
    Instant const now { 100s };
    ReturnBook book;
    auto const due = now + 1s;
    auto const slot = ReturnBook::slot_of(due);
    book.add(due, demand, now);
    auto const announcements = book.take_announcements(now, 8);
    REQUIRE(announcements.size() == 1);
    CHECK(!book.has_announcements());

    WHEN("another host is told")
    {
        ReturnBook other;
        other.apply(MemberId("a"), announcements[0], now + 3ms);
        CHECK(other.due_in_slot(slot) == demand);
        THEN("a repeated message changes nothing")
        {
            other.apply(MemberId("a"), announcements[0], now + 4ms);
            CHECK(other.due_in_slot(slot) == demand);
        }
        THEN("a further promise for the slot replaces the announcement")
        {
            book.add(due, demand, now);
            other.apply(MemberId("a"), book.take_announcements(now, 8)[0], now + 3ms);
            CHECK(other.due_in_slot(slot).generations == 2);
        }
        THEN("a promise that is used up no longer counts")
        {
            book.remove(due, demand, now + 500ms);
            other.apply(MemberId("a"), book.take_announcements(now + 500ms, 8)[0], now + 503ms);
            CHECK(other.due_in_slot(slot) == ReturnDemand {});
        }
        THEN("its own demand and that of others add up")
        {
            other.add(due, demand, now);
            other.apply(MemberId("b"), announcements[0], now);
            CHECK(other.due_in_slot(slot).generations == 3);
        }
        THEN("nothing remains when the slot is past")
        {
            other.expire(due + 1s);
            CHECK(other.due_in_slot(slot) == ReturnDemand {});
        }
    }
    WHEN("messages have impossible values")
    {
        ReturnBook other;
        other.apply(MemberId("a"), { 1h, demand }, now);
        other.apply(MemberId("a"), { -1s, demand }, now);
        other.apply(MemberId("a"), { 1s, { 4'000'000'000, 1, 1 } }, now);
        other.apply(MemberId("a"), { 1s, { 1, -1, 1 } }, now);
        other.apply(MemberId("a"), { 1s, { 1, 1, 1'000'000'000'000 } }, now);
        for (i64 i = 0; i < 100'000; ++i)
            CHECK(other.due_in_slot(ReturnBook::slot_of(now) + i) == ReturnDemand {});
    }
    WHEN("many announcements are due")
    {
        for (int i = 0; i < 60; ++i)
            book.add(now + i * ReturnBook::slot_length, demand, now);
        THEN("a message names the earliest ones, and the next message the others")
        {
            CHECK(book.take_announcements(now, 8).size() == 8);
            CHECK(book.take_announcements(now, 100).size() > 40);
        }
    }
}

SCENARIO("a caller is told when capacity is expected")
{
    Instant now { 100s };

    SECTION("a host that knows nothing tells 200 to 400 ms")
    {
        ReturnPlan plan;
        CHECK(plan.refuse(tag, large_pool, 0, now).after == 200ms);
        auto const last = plan.refuse(tag, large_pool, 0.999, now);
        CHECK(last.after < 400ms);
        CHECK(last.after > 390ms);
        CHECK(last.basis == Basis::Unknown);
    }
    SECTION("a pool of many engines that refuses one of ten has capacity again within half a second")
    {
        KnownPlan plan(now);
        for (int i = 0; i < 9; ++i)
            plan.record_admitted(3000, now);
        auto const time = plan.refuse(draft, large_pool, 0.5, now);
        CHECK(time.basis == Basis::Promised);
        CHECK(time.after >= 200ms);
        CHECK(time.after <= 500ms);
    }
    SECTION("refused generations that are smaller say nothing of the large ones that were admitted, nor the reverse")
    {
        KnownPlan plan(now);
        for (int i = 0; i < 30; ++i)
            plan.record_admitted(100, now);
        CHECK(plan.refuse(draft, large_pool, 0.5, now).refused_share == 1);
    }
    SECTION("callers refused together get different slots, and nobody one without capacity")
    {
        KnownPlan plan(now);
        std::map<i64, u32> promised;
        for (int i = 0; i < 200; ++i) {
            auto const time = plan.refuse(draft, large_pool, 0.5, now);
            if (time.basis == Basis::Promised)
                ++promised[ReturnBook::slot_of(now + time.after)];
        }
        CHECK(promised.size() >= 4);
        u32 total = 0;
        for (auto const& [slot, count] : promised)
            total += count;
        // 12.5 generations per second, in at most 3.5 seconds.
        CHECK(total >= 15);
        CHECK(total <= 44);
    }
    SECTION("two hosts of a domain that know of each other's promises fill one slot together")
    {
        // Releases capacity for one returning caller in each slot.
        constexpr PoolUse pool { 96'000, 32, 1 };
        KnownPlan first(now);
        KnownPlan informed(now);
        KnownPlan uninformed(now);
        for (auto* plan : { &first, &informed, &uninformed }) {
            for (int i = 0; i < 9; ++i)
                plan->record_admitted(3000, now);
        }
        auto const slot = ReturnBook::slot_of(now + first.refuse(tag, pool, 0.5, now).after);
        for (auto const& announcement : first.book.take_announcements(now, 8))
            informed.apply(MemberId("first"), announcement, now);
        CHECK(ReturnBook::slot_of(now + uninformed.refuse(tag, pool, 0.5, now).after) == slot);
        auto const next = informed.refuse(tag, pool, 0.5, now);
        CHECK(next.basis == Basis::Promised);
        CHECK(ReturnBook::slot_of(now + next.after) == slot + 1);
    }
    SECTION("where the other hosts' promises take all expected capacity, there is no promise")
    {
        KnownPlan plan(now);
        plan.apply(MemberId("first"), { 2s, { 50, 150'000, 125'000 } }, now);
        CHECK(plan.refuse(draft, large_pool, 0.5, now).basis == Basis::NoCapacity);
    }
    SECTION("nobody is told a time after a third of the time left, or later than the goal without need")
    {
        KnownPlan plan(now);
        for (int i = 0; i < 1000; ++i) {
            auto const at = now + i * 10ms;
            auto const draw = (i % 100) / 100.0;
            CHECK(plan.refuse(tag, small_pool, draw, at).after <= 2s);
            CHECK(plan.refuse(draft, small_pool, draw, at).after <= 13s);
            auto const short_one = plan.refuse({ demand, 1h, 0s, 0s, 900ms }, large_pool, draw, at);
            CHECK(short_one.after <= 400ms);
        }
    }
    SECTION("a shortage that has lasted for a second is not expected to end at once")
    {
        KnownPlan plan(now);
        for (int i = 0; i < 10; ++i)
            CHECK(plan.refuse(tag, small_pool, 0.5, now + i * 100ms).after <= 2s);
        auto const time = plan.refuse(tag, small_pool, 0.5, now + 1s);
        CHECK(time.shortage_ends_in == 4s);
        CHECK(time.basis == Basis::NoCapacity);
        THEN("its caller returns as late as it can be served in time") { CHECK(time.after > 700ms); }
        THEN("it has ended after a second without a refusal")
        {
            CHECK(plan.refuse(tag, small_pool, 0.5, now + 10s).shortage_ends_in == 0s);
        }
    }
    SECTION("backlogs leave no time before the goal: the caller returns soon, since a late answer is of less use")
    {
        KnownPlan plan(now);
        for (int i = 0; i < 20; ++i) {
            auto const time = plan.refuse({ demand, 1500ms, 300ms, 1s, 6s }, small_pool, i / 20.0, now + i * 100ms);
            CHECK(time.after >= 200ms);
            CHECK((time.after <= 400ms || time.basis == Basis::PromisedLate));
        }
    }
    SECTION("a route without a goal gets what a third of the time left allows")
    {
        KnownPlan plan(now);
        auto const time = plan.refuse({ demand, 0s, 0s, 0s, 39s }, large_pool, 0.5, now);
        CHECK(time.basis == Basis::PromisedLate);
        CHECK(time.after <= 13s);
    }
}

SCENARIO("a returning caller is known by its request")
{
    Instant const now { 100s };
    ReturningCallers callers;
    constexpr u64 fingerprint = 7;
    callers.record(fingerprint, { ServiceName("models"), demand, now + 1s }, now);

    SECTION("it comes as told, once")
    {
        CHECK(callers.came_back_as_told(fingerprint, now + 1s));
        CHECK(!callers.came_back_as_told(fingerprint, now + 1s));
    }
    SECTION("it comes early and loses its turn")
    {
        CHECK(callers.take(fingerprint, now + 500ms).arrival == ReturningCallers::Arrival::Early);
        CHECK(!callers.came_back_as_told(fingerprint, now + 1s));
    }
    SECTION("it comes too late") { CHECK(!callers.came_back_as_told(fingerprint, now + 3s)); }
    SECTION("another one claims nothing") { CHECK(!callers.came_back_as_told(8, now + 1s)); }
    SECTION("a caller that sends its request often has one entry")
    {
        for (int i = 0; i < 100; ++i)
            callers.record(fingerprint, { ServiceName("models"), demand, now + 1s }, now);
        CHECK(callers.size() == 1);
        CHECK(callers.came_back_as_told(fingerprint, now + 1s));
        CHECK(!callers.came_back_as_told(fingerprint, now + 1s));
    }
    SECTION("their number is bounded, and outdated ones are dropped")
    {
        for (u64 i = 0; i < 10'000; ++i)
            callers.record(100 + i, { ServiceName("models"), demand, now + 1s }, now);
        CHECK(callers.size() <= 2048);
        callers.record(1, { ServiceName("models"), demand, now + 10s }, now + 10s);
        CHECK(callers.size() == 1);
    }
}
