/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/OutputBudget.h>
#include <LibOverload/ReceiveProgress.h>
#include <LibOverload/RequestBudget.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace Overload;

static constexpr size_t smallest_host_memory = 88'000'000;
static constexpr size_t largest_body = 4 << 20;
static constexpr size_t small_request = 2 << 10;

/// Receives requests of this size until the budget has none left. Returns what they hold.
static std::vector<RequestCharge> fill(std::shared_ptr<RequestBudget> const& budget, size_t size)
{
    std::vector<RequestCharge> charges;
    while (true) {
        auto& charge = charges.emplace_back(budget);
        charge.set(size);
        if (!charge.must_shed())
            continue;
        charges.pop_back();
        return charges;
    }
}

SCENARIO("the requests of all callers share a bounded part of a small host's memory")
{
    auto const total = RequestBudget::total_for(smallest_host_memory);
    auto const budget = std::make_shared<RequestBudget>(total);

    SECTION("one request of the maximum size gets its memory")
    {
        RequestCharge charge(budget);
        charge.set(largest_body);
        CHECK_FALSE(charge.must_shed());
        CHECK(budget->limit_for_large() >= largest_body);
    }
    SECTION("and so does one on a host whose memory is small for the limits, and a small one beside it")
    {
        auto const little = std::make_shared<RequestBudget>(RequestBudget::min_total);
        little->set_largest_request(largest_body);
        RequestCharge charge(little);
        charge.set(largest_body);
        CHECK_FALSE(charge.must_shed());
        RequestCharge small(little);
        small.set(small_request);
        CHECK_FALSE(small.must_shed());
        RequestCharge second(little);
        second.set(largest_body);
        CHECK(second.must_shed());
    }
    SECTION("large bodies without end never hold all of it, and small requests are still received")
    {
        auto const large = fill(budget, largest_body);
        CHECK(large.size() >= 3);
        CHECK(budget->used() <= total);
        RequestCharge small(budget);
        small.set(small_request);
        CHECK_FALSE(small.must_shed());
        auto const further = fill(budget, small_request);
        CHECK(further.size() >= 1000);
    }
    SECTION("small requests without end hold no more than the whole")
    {
        auto const small = fill(budget, RequestBudget::max_small_request);
        CHECK(budget->used() <= total);
    }
    SECTION("what a request held is free again when it is over")
    {
        {
            auto const large = fill(budget, largest_body);
            auto moved = RequestCharge(budget);
            moved.set(small_request);
            auto const kept = std::move(moved);
        }
        CHECK(budget->used() == 0);
    }
    SECTION("requests, unread responses and collected ones together leave three eighths for the process")
    {
        auto const together = total + OutputBudget::total_for(smallest_host_memory)
            + OutputBudget::total_for_collected(smallest_host_memory);
        CHECK(together <= smallest_host_memory / 8 * 5);
    }
    SECTION("without a known memory, nothing is shed")
    {
        RequestCharge unbounded;
        unbounded.set(100 * total);
        CHECK_FALSE(unbounded.must_shed());
    }
}

SCENARIO("the request that does least with its memory is given up first")
{
    Instant now {};
    auto read_clock = [&] { return now += Test::clock_step; };
    ReceiveProgress stalled;
    ReceiveProgress trickling;
    ReceiveProgress flowing;
    for (auto* progress : { &stalled, &trickling, &flowing })
        progress->begin(read_clock());
    stalled.record(largest_body - 1, read_clock());
    trickling.record(largest_body - 100, read_clock());
    constexpr size_t flow = 100'000;
    for (int second = 0; second < 3; ++second) {
        now += 1s;
        trickling.record(1, read_clock());
        flowing.record(flow, read_clock());
    }
    ReceiveProgress beginning;
    beginning.begin(read_clock());
    ReceiveProgress latest;
    latest.begin(read_clock());

    auto const decided_at = read_clock();
    auto const of_stalled = stalled.state(largest_body, decided_at);
    auto const of_trickling = trickling.state(largest_body, decided_at);
    auto const of_flowing = flowing.state(largest_body, decided_at);
    auto const of_beginning = beginning.state(largest_body, decided_at);
    auto const of_latest = latest.state(largest_body, decided_at);

    CHECK(is_shed_before(of_stalled, of_trickling));
    CHECK(is_shed_before(of_trickling, of_flowing));
    CHECK_FALSE(is_shed_before(of_flowing, of_stalled));
    SECTION("one that has had no time to progress is given up last, and the latest of these first")
    {
        CHECK(is_shed_before(of_flowing, of_beginning));
        CHECK(is_shed_before(of_latest, of_beginning));
    }
    SECTION("of two that progress alike, the one that holds more is given up first")
    {
        auto const of_small = flowing.state(small_request, decided_at);
        CHECK(is_shed_before(of_flowing, of_small));
    }
    SECTION("what arrived long ago does not count")
    {
        now += 10s;
        CHECK(flowing.state(largest_body, read_clock()).recent == 0);
    }
}
