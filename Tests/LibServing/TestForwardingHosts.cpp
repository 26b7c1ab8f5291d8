/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ForwardingHosts.h>
#include <LibServing/RetryBudget.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Serving;

namespace {

ServiceName const service("lookups");
FailureDomainId const own_domain("hall-a");

/// A host of hall-a, two others there and two in hall-b.
class ForwardingFixture {
public:
    void report(std::string const& host, std::string const& domain)
    {
        this->hosts.record_contact(Address(host), FailureDomainId(domain), std::span(&service, 1), this->now);
    }
    [[nodiscard]] std::string choose(std::vector<Address> const& tried = {}, u64 draw = 0,
        ServiceName const& wanted = service, AllowedRegions const& regions = {}) const
    {
        auto const chosen
            = this->hosts.choose({ wanted, tried, own_domain, regions, this->region_of }, draw, this->now);
        return chosen ? chosen->value() : "none";
    }

    ForwardingHosts hosts;
    Instant now { 100s };
    std::map<FailureDomainId, RegionId> region_of { { own_domain, RegionId("north") },
        { FailureDomainId("hall-b"), RegionId("south") } };
};

}

// Guards against requests that go to one host only, to a host that can't serve them, or out of their regions.
SCENARIO("a host that has lost contact to a service chooses the host that gets its requests")
{
    ForwardingFixture fixture;
    CHECK(fixture.choose() == "none");
    fixture.report("a1", "hall-a");
    fixture.report("a2", "hall-a");
    fixture.report("b1", "hall-b");

    WHEN("hosts of its domain have contact")
    {
        THEN("they get the requests in equal numbers")
        {
            std::map<std::string, int> received;
            for (u64 i = 0; i < 10; ++i) {
                auto const chosen = fixture.choose({}, i);
                fixture.hosts.record_begin(Address(chosen));
                ++received[chosen];
            }
            CHECK(received == std::map<std::string, int> { { "a1", 5 }, { "a2", 5 } });
        }
        THEN("idle ones get them at random, so that many hosts do not all choose the same")
        {
            std::set<std::string> chosen;
            for (u64 draw = 0; draw < 64; ++draw)
                chosen.insert(fixture.choose({}, draw * 0x9E3779B97F4A7C15));
            CHECK(chosen.size() == 2);
        }
        THEN("only the service that they report is forwarded")
        {
            CHECK(fixture.choose({}, 0, ServiceName("models")) == "none");
        }
    }
    WHEN("they have got the request, or have failed")
    {
        fixture.hosts.record_failure(Address("a2"), fixture.now);
        THEN("a host of another domain gets it")
        {
            CHECK(fixture.choose({ Address("a1") }) == "b1");
            CHECK(fixture.choose({ Address("a1"), Address("b1") }) == "none");
        }
        THEN("the failed one is chosen again after a while")
        {
            fixture.now += 1s;
            CHECK(fixture.choose({ Address("a1") }) == "a2");
        }
    }
    WHEN("the request may only be served in some regions")
    {
        AllowedRegions const south({ RegionId("south") });
        THEN("only hosts of these regions get it") { CHECK(fixture.choose({}, 0, service, south) == "b1"); }
    }
    WHEN("the reports expire")
    {
        fixture.now += 1500ms;
        CHECK(fixture.choose() == "none");
        fixture.report("a1", "hall-a");
        fixture.hosts.forget_expired(fixture.now);
        THEN("hosts that report again get requests") { CHECK(fixture.choose() == "a1"); }
    }
}

// Guards against an allowance that counts a forwarded request at both hosts.
SCENARIO("a forwarded request earns no repeat at the host that forwards it")
{
    Instant const now { 100s };
    RetryBudget budget({ .ratio = 0.5, .allowance = 0, .window = 10s, .hosts = 1 });
    budget.record_request(service, now);
    budget.record_request(service, now);
    budget.withdraw_request(service);
    CHECK_FALSE(budget.take(service, now).is_granted);
    budget.record_request(service, now);
    CHECK(budget.take(service, now).is_granted);
}
