/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/OrganisationShares.h>
#include <catch2/catch.hpp>

using namespace Overload;

static constexpr Instant now { 100s };
static OrganisationId organisation(int number) { return OrganisationId("o" + std::to_string(number)); }

SCENARIO("one organisation requests nine times its share in a shortage")
{
    OrganisationShares shares;
    auto const large = organisation(0);
    shares.record_placed(large, TokenCount(9000), now);
    shares.record_lacking(large, TokenCount(9000), now);
    for (int i = 1; i <= 9; ++i)
        shares.record_placed(organisation(i), TokenCount(900), now);

    WHEN("no other one lacks capacity")
    {
        THEN("it may have what is left") { CHECK_FALSE(shares.must_yield(large, now)); }
    }
    WHEN("one below its share is refused")
    {
        shares.record_lacking(organisation(1), TokenCount(900), now);
        THEN("the large one leaves capacity for it, the others do not have to")
        {
            CHECK(shares.use_of_share(large, now) > 1);
            CHECK(shares.must_yield(large, now));
            CHECK_FALSE(shares.must_yield(organisation(1), now));
            CHECK_FALSE(shares.must_yield(organisation(2), now));
        }
        THEN("it no longer does when the other one has stopped requesting")
        {
            CHECK_FALSE(shares.must_yield(large, now + 2s));
        }
    }
    WHEN("only one that is above its share as well is refused")
    {
        shares.record_placed(organisation(1), TokenCount(20'000), now);
        shares.record_lacking(organisation(1), TokenCount(900), now);
        CHECK_FALSE(shares.must_yield(large, now));
    }
    THEN("an organisation that has had nothing has used nothing of its share")
    {
        CHECK(shares.use_of_share(organisation(77), now) == 0);
    }
}

SCENARIO("the other hosts report what organisations have had")
{
    OrganisationShares shares;
    shares.record_placed(organisation(1), TokenCount(1000), now);
    shares.record_lacking(organisation(1), TokenCount(1000), now);
    std::vector<OrganisationTokens> const report { { organisation(0), 9000, Duration(0) } };
    shares.apply(MemberId("b"), SignScope::Host, report, now);
    CHECK(shares.must_yield(organisation(0), now));

    THEN("a repeated report replaces the former one")
    {
        auto const before = shares.use_of_share(organisation(0), now);
        shares.apply(MemberId("b"), SignScope::Host, report, now);
        CHECK(shares.use_of_share(organisation(0), now) == before);
    }
    THEN("this host passes it on to other domains, but not to the hosts of its own")
    {
        CHECK(shares.report(SignScope::Host, now).size() == 1);
        CHECK(shares.report(SignScope::Domain, now).size() == 2);
    }
    THEN("what another domain reports is not passed on")
    {
        shares.apply(MemberId("hall-b"), SignScope::Domain, { { organisation(5), 500, Duration(0) } }, now);
        CHECK(shares.report(SignScope::Domain, now).size() == 2);
    }
    THEN("values that make no sense are ignored")
    {
        shares.apply(MemberId("c"), SignScope::Host,
            { { organisation(6), -1, Duration(0) }, { organisation(7), std::numeric_limits<double>::infinity(), {} } },
            now);
        CHECK(shares.use_of_share(organisation(6), now + 200ms) == 0);
        CHECK(shares.use_of_share(organisation(7), now + 200ms) == 0);
    }
}

SCENARIO("memory for organisations is bounded")
{
    OrganisationShares shares;
    for (int i = 0; i < 3000; ++i)
        shares.record_placed(organisation(i), TokenCount(100), now);
    CHECK(shares.report(SignScope::Host, now).size() == OrganisationShares::max_reported);
    CHECK(shares.use_of_share(organisation(2999), now) == 0);
}
