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

SCENARIO("a host keeps to its part of what all may repeat")
{
    RetryBudget budget({ 0.2, 56, 10s, 8 });
    Instant now { 100s };
    auto spend_all = [&] {
        int spent = 0;
        while (budget.take(lanes, now).is_granted)
            ++spent;
        return spent;
    };
    CHECK(spend_all() == 3);
    CHECK(spend_all() == 0);
    WHEN("requests come")
    {
        for (int i = 0; i < 50; ++i)
            budget.note_request(lanes, now);
        CHECK(spend_all() <= 10);
    }
    WHEN("a window has passed")
    {
        now += 10s;
        CHECK(spend_all() == 3);
    }
    WHEN("more hosts are known than the setting says")
    {
        budget.set_known_hosts(295);
        now += 60s;
        THEN("its part of the allowance is the smaller") { CHECK(spend_all() == 0); }
        AND_WHEN("its requests have earned a repeat")
        {
            for (int i = 0; i < 6; ++i)
                budget.note_request(lanes, now);
            THEN("that is not lost") { CHECK(spend_all() == 1); }
        }
    }
    WHEN("another service is asked for") { CHECK(budget.take(ServiceName("others"), now).is_granted); }
}

SCENARIO("in no window do repeats exceed the ratio of its requests and the host's part of the allowance")
{
    rc::prop("any mixture of requests, repeats and pauses", [](std::vector<u8> const& steps) {
        constexpr double ratio = 0.2;
        constexpr double allowance = 56;
        constexpr u32 hosts = 8;
        RetryBudget budget({ ratio, allowance, 10s, hosts });
        Instant now { 100s };
        std::deque<std::pair<Instant, bool>> seen;
        for (auto step : steps) {
            if (step % 3 == 0)
                now += std::chrono::milliseconds(step * 4);
            if (step % 3 == 1) {
                budget.note_request(lanes, now);
                seen.emplace_back(now, false);
            }
            if (step % 3 == 2 && budget.take(lanes, now).is_granted)
                seen.emplace_back(now, true);
            while (!seen.empty() && now - seen.front().first > 10s)
                seen.pop_front();
            auto repeats = std::ranges::count_if(seen, [](auto const& entry) { return entry.second; });
            auto requests = static_cast<double>(seen.size()) - static_cast<double>(repeats);
            // What earlier requests have earned may be spent a little later; it is bounded by one more share.
            RC_ASSERT(static_cast<double>(repeats) <= ratio * requests + 2.5 * allowance / hosts);
        }
    });
}
