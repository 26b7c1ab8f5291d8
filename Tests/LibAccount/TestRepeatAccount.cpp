/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/RepeatAccount.h>
#include <catch2/catch.hpp>

using namespace Account;

static std::vector<u64> timestamps(u64 from, u64 step, size_t count)
{
    std::vector<u64> result;
    for (size_t i = 0; i < count; ++i)
        result.push_back(from + i * step);
    return result;
}

SCENARIO("the window with the highest excess of repeats is found, with the number allowed in it")
{
    RepeatBound const bound { 0.2, 5, 10'000 };
    auto const requests = timestamps(50'000, 100, 200);
    CHECK_FALSE(worst_window(requests, {}, bound).has_value());

    WHEN("repeats come in a burst")
    {
        auto worst = worst_window(requests, timestamps(62'000, 10, 40), bound);
        REQUIRE(worst);
        CHECK(worst->repeats == 40);
        CHECK(worst->requests == 100);
        CHECK(worst->allowed == Approx(25));
        CHECK(worst->excess() == Approx(15));
    }
    WHEN("they are spread over more than a window")
    {
        auto worst = worst_window(requests, timestamps(55'000, 500, 40), bound);
        REQUIRE(worst);
        CHECK(worst->repeats == 20);
    }
    WHEN("repeats come after the requests of their window")
    {
        THEN("requests of half a window and of a window earlier count")
        {
            CHECK(worst_window(requests, timestamps(65'000, 10, 8), bound)->requests == 100);
            CHECK(worst_window(requests, timestamps(70'000, 10, 8), bound)->requests == 100);
            CHECK(worst_window(requests, timestamps(72'500, 10, 8), bound)->requests == 75);
        }
        THEN("older requests do not")
        {
            CHECK(worst_window(requests, timestamps(95'000, 10, 8), bound)->requests == 0);
        }
    }
}

SCENARIO("the repeats in the logs of hosts are summed by service")
{
    RepeatAccount account;
    auto add_line = [&](std::string const& text) {
        auto parsed = parse_log_line(text);
        REQUIRE(parsed);
        account.add(*parsed.value());
    };
    add_line("host-2 ms=1000 event=E2001 request_received subject=c1 route=lookup service=lanes");
    add_line("host-2 ms=1010 event=E2407 repeat_decided subject=c1 service=lanes granted=1 left=0.5 hosts=2");
    add_line("host-2 ms=1020 event=E2407 repeat_decided subject=c1 service=lanes granted=0 left=0.5 hosts=2");
    add_line("host-1 ms=900 event=E2001 request_received subject=c2 route=lookup service=lanes");
    add_line("host-1 ms=910 event=E2407 repeat_decided subject=c2 service=lanes granted=1 left=0.5 hosts=2");
    add_line("host-1 ms=910 event=E2404 call_retried subject=c2 from=b1");
    auto services = account.services();
    REQUIRE(services.size() == 1);
    auto const& lanes = services.at("lanes");
    CHECK(lanes.requests == std::vector<u64> { 900, 1000 });
    CHECK(lanes.repeats == std::vector<u64> { 910, 1010 });
    CHECK(lanes.withheld == 1);
}
