/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PlatformContact.h>
#include <catch2/catch.hpp>

using namespace Serving;

// Guards against the state of one host's path to the platform being taken for the state of the platform.
SCENARIO("hosts tell an outage of the platform from a broken path to it")
{
    constexpr Duration max_gap = 2500ms;
    FailureDomainId const own_domain("hall-a");
    FailureDomainId const other_domain("hall-b");
    Address const other_host("10.0.0.1:1");
    PlatformContact contact(own_domain, max_gap);
    Instant now { 100s };
    auto possible_expiry = [&](FailureDomainId const& domain) {
        return contact.possible_expiry(domain, contact.last_outage()->began, now);
    };

    GIVEN("a host that the platform answers regularly")
    {
        contact.record_answer(now);
        auto const began = now;
        for (int i = 0; i < 10; ++i)
            contact.record_answer(now += 2s);
        THEN("it has had contact since the first answer") { CHECK(contact.own_duration(now) == now - began); }
        THEN("it has no contact once an answer is overdue")
        {
            now += max_gap + 1ms;
            CHECK_FALSE(contact.own_duration(now));
            AND_THEN("the next answer begins a new contact")
            {
                contact.record_answer(now);
                CHECK(contact.own_duration(now) == 0s);
            }
        }
        WHEN("it calls again after a long time without calls, and the call fails")
        {
            contact.record_failure(now += 1min);
            THEN("the outage began shortly before")
            {
                CHECK(contact.last_outage()->began == now - max_gap);
                CHECK(contact.is_in_outage());
            }
        }
        WHEN("calls fail, and one is answered again")
        {
            auto const last_answer = now;
            contact.record_failure(now += 100ms);
            contact.record_failure(now += 1s);
            auto const last_failure = now;
            contact.record_answer(now += 1s);
            THEN("the outage began with the last answer before it")
            {
                CHECK(contact.last_outage()->began == last_answer);
                CHECK(contact.last_outage()->last_failure == last_failure);
                CHECK(contact.own_duration(now) == 0s);
            }
            THEN("entries may have expired, since nobody had contact all the time")
            {
                CHECK(possible_expiry(own_domain) == PossibleExpiry::PlatformAway);
                CHECK(possible_expiry(other_domain) == PossibleExpiry::PlatformAway);
            }
            AND_WHEN("a host of another domain had contact all the time")
            {
                contact.record_report(other_host, other_domain, 1min, now);
                THEN("only servers of the own domain may have been cut off")
                {
                    CHECK(possible_expiry(own_domain) == PossibleExpiry::OwnDomainCutOff);
                    CHECK(possible_expiry(other_domain) == PossibleExpiry::None);
                }
                AND_WHEN("its report is old")
                {
                    now += 4s;
                    CHECK(possible_expiry(other_domain) == PossibleExpiry::PlatformAway);
                }
                AND_WHEN("it reports that the platform does not answer it")
                {
                    contact.record_report(other_host, other_domain, {}, now);
                    CHECK(possible_expiry(other_domain) == PossibleExpiry::PlatformAway);
                }
            }
            AND_WHEN("a host of the own domain had contact all the time")
            {
                contact.record_report(other_host, own_domain, 1min, now);
                CHECK(possible_expiry(own_domain) == PossibleExpiry::None);
                CHECK(possible_expiry(other_domain) == PossibleExpiry::None);
            }
        }
    }
}
