/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RetryBudget.h>
#include <deque>
#include <rapidcheck/catch.h>

using Serving::RetryBudget;

static ServiceName const lanes("lanes");

/// The window plus the time that a repeat may take to reach its backend server.
static constexpr Duration time_to_share = 11s;

SCENARIO("a host stays within its share of the retry budget")
{
    RetryBudget budget({ 0.2, 56, 10s, 8 });
    Instant now { 100s };
    auto spend_all = [&] {
        int spent = 0;
        while (budget.take(lanes, now).is_granted)
            ++spent;
        return spent;
    };
    auto requests = [&](int count) {
        for (int i = 0; i < count; ++i)
            budget.record_request(lanes, now);
    };
    auto spend_with_requests = [&](int count) {
        int spent = 0;
        for (int i = 0; i < count; ++i) {
            requests(1);
            spent += spend_all();
        }
        return spent;
    };
    GIVEN("a host that does not know how many hosts share the allowance")
    {
        CHECK(spend_all() == 0);
        CHECK(budget.take(lanes, now).hosts == 0);
        THEN("it may repeat what its requests earn") { CHECK(spend_with_requests(50) == 10); }
        WHEN("requests arrive and none is repeated")
        {
            requests(50);
            THEN("one repeat is saved") { CHECK(spend_all() == 1); }
        }
        WHEN("it learns the number")
        {
            budget.set_sharing_hosts(4, now);
            THEN("it has no share while repeats of its previous process may still count")
            {
                CHECK(spend_all() == 0);
                now += time_to_share - 1ms;
                CHECK(spend_all() == 0);
                now += 1ms;
                CHECK(spend_all() == 6);
            }
        }
    }
    GIVEN("a host that has long known how many hosts share the allowance")
    {
        budget.set_sharing_hosts(4, now);
        now += time_to_share;
        requests(50);
        CHECK(budget.take(lanes, now).hosts == 8);
        CHECK(spend_all() == 6);
        CHECK(spend_all() == 0);
        THEN("it may repeat what further requests earn") { CHECK(spend_with_requests(50) == 10); }
        WHEN("a window has passed without requests")
        {
            now += time_to_share + 1s;
            THEN("it has only the part of its share that need not be earned") { CHECK(spend_all() == 6); }
        }
        WHEN("many windows have passed with requests but no repeats")
        {
            for (int i = 0; i < 600; ++i) {
                now += 100ms;
                requests(1);
            }
            THEN("it has saved no more than its share") { CHECK(spend_all() == 7); }
        }
        WHEN("the share is not a whole number of repeats")
        {
            now += 60s;
            budget.set_sharing_hosts(22, now);
            requests(50);
            THEN("the fraction can be saved: a share of 2.5 is 1 from the allowance and 1.5 earned")
            {
                CHECK(spend_all() == 2);
                CHECK(spend_with_requests(3) == 1);
            }
        }
        WHEN("there are more hosts than repeats in the allowance")
        {
            now += 60s;
            budget.set_sharing_hosts(295, now);
            THEN("it repeats nothing, since one saved repeat per host would exceed the allowance")
            {
                CHECK(spend_all() == 0);
                CHECK(spend_with_requests(50) == 0);
            }
        }
        WHEN("the number becomes unknown and then known again")
        {
            now += 60s;
            budget.set_sharing_hosts({}, now);
            CHECK(spend_all() == 0);
            budget.set_sharing_hosts(4, now);
            CHECK(spend_all() == 0);
            now += time_to_share;
            CHECK(spend_all() == 6);
        }
        WHEN("the settings name a longer window")
        {
            now += 60s;
            budget.set_limits({ 0.2, 56, 20s, 8 });
            budget.set_sharing_hosts(4, now);
            CHECK(spend_all() == 0);
            now += 21s;
            CHECK(spend_all() == 6);
        }
        WHEN("another service is called") { CHECK(budget.take(ServiceName("others"), now).is_granted); }
    }
}

SCENARIO("in no window do repeats exceed the ratio of its requests and the host's part of the allowance")
{
    rc::prop("for any sequence of requests, repeats and idle times", [](std::vector<u8> const& steps) {
        constexpr double ratio = 0.2;
        constexpr double allowance = 56;
        constexpr u32 hosts = 8;
        RetryBudget budget({ ratio, allowance, 10s, hosts });
        Instant now { 100s };
        budget.set_sharing_hosts(hosts, now);
        now += time_to_share;
        std::deque<std::pair<Instant, bool>> seen;
        for (auto step : steps) {
            if (step % 3 == 0)
                now += std::chrono::milliseconds(step * 4);
            if (step % 3 == 1) {
                budget.record_request(lanes, now);
                seen.emplace_back(now, false);
            }
            if (step % 3 == 2 && budget.take(lanes, now).is_granted)
                seen.emplace_back(now, true);
            while (!seen.empty() && now - seen.front().first > 10s)
                seen.pop_front();
            auto repeats = std::ranges::count_if(seen, [](auto const& entry) { return entry.second; });
            auto requests = static_cast<double>(seen.size()) - static_cast<double>(repeats);
            RC_ASSERT(static_cast<double>(repeats) <= ratio * requests + allowance / hosts);
        }
    });
}
