/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <catch2/catch.hpp>
#include <platform/Dialect.h>

namespace {

std::optional<Serving::LoadReport> load_in(std::string const& header)
{
    Http::ResponseHead head;
    head.set("Lilactiller-Server-Load", header);
    return Adapter::Dialect::decode_response(head).load;
}

}

SCENARIO("a server's load header tells how slow it is at present")
{
    GIVEN("a header with the fourth figure")
    {
        auto const load = load_in("3,1,24,250");
        REQUIRE(load);
        THEN("all four count")
        {
            CHECK(load->running == 3);
            CHECK(load->waiting == 1);
            CHECK(load->slots == 24);
            CHECK(load->slowness == Overload::Slowness(2.5));
            CHECK_FALSE(load->has_invalid_slowness);
        }
    }
    GIVEN("other forms of valid figures")
    {
        CHECK(load_in("3, 1, 24, 55")->slowness == Overload::Slowness(0.55));
        CHECK(load_in("3,1,24,137.5 ")->slowness == Overload::Slowness(1.375));
        CHECK(load_in("3,1,24,120,later,extensions")->slowness == Overload::Slowness(1.2));
    }
    GIVEN("a header without it")
    {
        auto const load = load_in("3,1,24");
        REQUIRE(load);
        THEN("the slowness is unknown, which is no error")
        {
            CHECK_FALSE(load->slowness);
            CHECK_FALSE(load->has_invalid_slowness);
        }
    }
    for (auto const* figure : { "", " ", "0", "-100", "1", "1000000", "1e300", "nan", "inf", "fast", "100x", "1 00" }) {
        INFO(figure);
        auto const load = load_in(std::string("3,1,24,") + figure);
        REQUIRE(load);
        // The other three figures count.
        CHECK(load->running == 3);
        CHECK(load->slots == 24);
        CHECK_FALSE(load->slowness);
        CHECK(load->has_invalid_slowness);
    }
}
