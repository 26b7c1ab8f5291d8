/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/DomainDoubt.h>
#include <catch2/catch.hpp>
#include <string>

using namespace Overload;

static EngineId engine(int number) { return EngineId("engine-" + std::to_string(number)); }

static ServerGroup const engines_of_a { FailureDomainId("hall-a"), ServiceName("models") };
static constexpr size_t servers_of_a = 16;

static DoubtReport doubt_of_a(Duration age = 0s) { return { engines_of_a, age, false }; }
static DoubtReport clearance_of_a(Duration age = 0s) { return { engines_of_a, age, true }; }

SCENARIO("all engines of a domain crash at once")
{
    DomainDoubt doubt;
    Instant now { 100s };

    SECTION("one request that tries two of them finds out")
    {
        CHECK_FALSE(doubt.record_failure(engines_of_a, engine(1), servers_of_a, now));
        CHECK_FALSE(doubt.is_doubtful(engines_of_a, now));
        CHECK(doubt.record_failure(engines_of_a, engine(2), servers_of_a, now + 2ms));
        CHECK(doubt.is_doubtful(engines_of_a, now + 2ms));

        SECTION("the doubt concerns this service in this domain only")
        {
            CHECK_FALSE(doubt.is_doubtful({ engines_of_a.domain, ServiceName("lookups") }, now + 2ms));
            CHECK_FALSE(doubt.is_doubtful({ FailureDomainId("hall-b"), engines_of_a.service }, now + 2ms));
            CHECK(doubt.doubtful_domains(ServiceName("lookups"), now + 2ms).empty());
        }
        SECTION("it names when it began, since servers that start later are not part of it")
        {
            doubt.record_failure(engines_of_a, engine(3), servers_of_a, now + 1s);
            auto const domains = doubt.doubtful_domains(engines_of_a.service, now + 1s);
            REQUIRE(domains.size() == 1);
            CHECK(domains.front().domain == engines_of_a.domain);
            CHECK(domains.front().since == now + 2ms);
        }
        SECTION("each further failure prolongs it")
        {
            CHECK_FALSE(doubt.record_failure(engines_of_a, engine(2), servers_of_a, now + 1500ms));
            CHECK(doubt.is_doubtful(engines_of_a, now + 3s));
        }
        SECTION("without further evidence it lapses, and nothing is kept")
        {
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 2100ms));
            (void)doubt.take_changes(now + 2100ms);
            (void)doubt.take_changes(now + 5s);
            CHECK(doubt.is_empty());
        }
        SECTION("one response clears it, and new evidence is needed for the next doubt")
        {
            CHECK(doubt.record_response(engines_of_a, now + 500ms));
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 500ms));
            CHECK_FALSE(doubt.record_response(engines_of_a, now + 510ms));
            CHECK_FALSE(doubt.record_failure(engines_of_a, engine(2), servers_of_a, now + 510ms));
            CHECK(doubt.record_failure(engines_of_a, engine(3), servers_of_a, now + 520ms));
        }
        SECTION("its begin and end are logged once, with the evidence")
        {
            auto const begun = doubt.take_changes(now + 3ms);
            REQUIRE(begun.size() == 1);
            CHECK(begun.front().group == engines_of_a);
            CHECK(begun.front().ending == DomainDoubt::Ending::None);
            CHECK(begun.front().failed_servers == 2);
            CHECK(doubt.take_changes(now + 4ms).empty());
            doubt.record_response(engines_of_a, now + 502ms);
            auto const ended = doubt.take_changes(now + 502ms);
            REQUIRE(ended.size() == 1);
            CHECK(ended.front().ending == DomainDoubt::Ending::Response);
            CHECK(ended.front().failed_servers == 2);
            CHECK(ended.front().lasted == 500ms);
        }
    }
    SECTION("failures of a single server are no evidence, however many")
    {
        for (int i = 0; i < 100; ++i)
            CHECK_FALSE(doubt.record_failure(engines_of_a, engine(1), servers_of_a, now + i * 10ms));
    }
    SECTION("failures of two servers that are far apart are none either")
    {
        doubt.record_failure(engines_of_a, engine(1), servers_of_a, now);
        CHECK_FALSE(doubt.record_failure(engines_of_a, engine(2), servers_of_a, now + 2s));
    }
    SECTION("nor are those with a response in between, as on a link that loses packets")
    {
        doubt.record_failure(engines_of_a, engine(1), servers_of_a, now);
        doubt.record_response(engines_of_a, now + 1ms);
        CHECK_FALSE(doubt.record_failure(engines_of_a, engine(2), servers_of_a, now + 2ms));
    }
    SECTION("the more servers there are, the more of them must fail")
    {
        CHECK(DomainDoubt::min_failed_servers(2) == 2);
        CHECK(DomainDoubt::min_failed_servers(100) > DomainDoubt::min_failed_servers(16));
    }
    SECTION("a domain with one server of the service is never doubtful: the server alone is avoided")
    {
        doubt.record_failure(engines_of_a, engine(1), 1, now);
        CHECK_FALSE(doubt.is_doubtful(engines_of_a, now));
    }
}

SCENARIO("hosts tell each other of a domain whose engines have crashed")
{
    DomainDoubt doubt;
    Instant const now { 100s };
    MemberId const first("host-1");
    MemberId const second("host-2");
    MemberId const hall_a("hall-a");
    MemberId const hall_b("hall-b");
    MemberId const hall_c("hall-c");

    SECTION("the report of one host with a broken link changes nothing, however often it is repeated")
    {
        for (int i = 0; i < 100; ++i)
            doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(), now + i * 10ms);
        CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 1s));
        CHECK(doubt.domain_reports(now + 1s).empty());
    }
    SECTION("two hosts of the own domain that agree are sufficient, and their domain announces it")
    {
        CHECK_FALSE(doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(), now));
        CHECK(doubt.record_report(second, DoubtReporter::LocalHost, doubt_of_a(), now));
        CHECK(doubt.is_doubtful(engines_of_a, now));
        CHECK(doubt.domain_reports(now).size() == 1);
        THEN("this host does not repeat it as its own observation") { CHECK(doubt.own_reports(now).empty()); }
        THEN("a response to this host clears it, and reports of earlier evidence no longer count")
        {
            CHECK(doubt.record_response(engines_of_a, now + 100ms));
            doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(200ms), now + 200ms);
            doubt.record_report(second, DoubtReporter::LocalHost, doubt_of_a(150ms), now + 200ms);
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 200ms));
            auto const reports = doubt.own_reports(now + 200ms);
            REQUIRE(reports.size() == 1);
            CHECK(reports.front().is_cleared);
            CHECK(reports.front().age == 100ms);
        }
        THEN("a response to a third host clears it too")
        {
            CHECK(doubt.record_report(MemberId("host-3"), DoubtReporter::LocalHost, clearance_of_a(), now + 100ms));
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 100ms));
            AND_THEN("also for reports that arrive late")
            {
                doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(150ms), now + 200ms);
                doubt.record_report(second, DoubtReporter::LocalHost, doubt_of_a(150ms), now + 200ms);
                CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 200ms));
            }
        }
        THEN("a response from before the evidence clears nothing")
        {
            doubt.record_report(MemberId("host-3"), DoubtReporter::LocalHost, clearance_of_a(500ms), now + 100ms);
            CHECK(doubt.is_doubtful(engines_of_a, now + 100ms));
        }
        THEN("it lapses by the age of the evidence, not by the arrival of messages")
        {
            doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(1900ms), now + 1900ms);
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 2001ms));
        }
    }
    SECTION("a host's own evidence counts with the report of one other")
    {
        doubt.record_failure(engines_of_a, engine(1), servers_of_a, now);
        doubt.record_failure(engines_of_a, engine(2), servers_of_a, now);
        CHECK(doubt.domain_reports(now).empty());
        CHECK(doubt.record_report(first, DoubtReporter::LocalHost, doubt_of_a(), now));
        CHECK(doubt.domain_reports(now).size() == 1);
    }
    SECTION("a domain that reports its own servers is sufficient")
    {
        doubt.record_report(hall_a, DoubtReporter::Domain, doubt_of_a(), now);
        CHECK(doubt.is_doubtful(engines_of_a, now));
        THEN("it is not announced further as an observation of this domain")
        {
            CHECK(doubt.domain_reports(now).empty());
        }
        THEN("the domain clears it itself")
        {
            doubt.record_report(hall_a, DoubtReporter::Domain, clearance_of_a(), now + 100ms);
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 100ms));
        }
    }
    SECTION("the link between two other domains is broken: one domain's report of another changes nothing")
    {
        doubt.record_report(hall_b, DoubtReporter::Domain, doubt_of_a(), now);
        CHECK_FALSE(doubt.is_doubtful(engines_of_a, now));
        THEN("two domains that agree are sufficient")
        {
            doubt.record_report(hall_c, DoubtReporter::Domain, doubt_of_a(), now);
            CHECK(doubt.is_doubtful(engines_of_a, now));
        }
    }
    SECTION("this host's own evidence is not cleared by a domain with other links")
    {
        doubt.record_failure(engines_of_a, engine(1), servers_of_a, now);
        doubt.record_failure(engines_of_a, engine(2), servers_of_a, now);
        doubt.record_report(hall_b, DoubtReporter::Domain, clearance_of_a(), now + 100ms);
        CHECK(doubt.is_doubtful(engines_of_a, now + 100ms));
        AND_THEN("but by a host of its own domain")
        {
            doubt.record_report(first, DoubtReporter::LocalHost, clearance_of_a(), now + 100ms);
            CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 100ms));
        }
    }
    SECTION("messages with an impossible or outdated age have no effect")
    {
        for (auto age : { Duration(-1s), Duration(2s), Duration(24h) }) {
            doubt.record_report(hall_a, DoubtReporter::Domain, doubt_of_a(age), now);
            doubt.record_report(hall_a, DoubtReporter::Domain, clearance_of_a(age), now);
        }
        CHECK(doubt.is_empty());
    }
    SECTION("a forged series of reporters takes bounded memory, and one response ends its effect")
    {
        for (int i = 0; i < 10'000; ++i)
            doubt.record_report(MemberId("forged-" + std::to_string(i)), DoubtReporter::LocalHost, doubt_of_a(), now);
        auto const changes = doubt.take_changes(now);
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().reporters < 20);
        CHECK(doubt.record_response(engines_of_a, now + 1ms));
        CHECK_FALSE(doubt.is_doubtful(engines_of_a, now + 1ms));
    }
}

SCENARIO("a crash becomes known in a fleet after a few failed connections")
{
    // Each host of a domain places one generation after the other. Without the doubt, each would try each engine.
    for (int hosts : { 6, 70, 300 }) {
        SECTION("with " + std::to_string(hosts) + " hosts of the domain")
        {
            std::vector<DomainDoubt> beliefs(static_cast<size_t>(hosts));
            Instant now { 100s };
            int failures = 0;
            // One generation arrives every 10 ms, at one host after the other, and messages take 5 ms.
            struct Message {
                Instant arrives_at {};
                size_t sender { 0 };
            };
            std::vector<Message> in_transit;
            for (size_t arrival = 0; arrival < 4 * beliefs.size(); ++arrival, now += 10ms) {
                std::erase_if(in_transit, [&](Message const& message) {
                    if (message.arrives_at > now)
                        return false;
                    for (size_t i = 0; i < beliefs.size(); ++i) {
                        if (i != message.sender)
                            beliefs[i].record_report(MemberId("host-" + std::to_string(message.sender)),
                                DoubtReporter::LocalHost, doubt_of_a(5ms), now);
                    }
                    return true;
                });
                auto const host = arrival % beliefs.size();
                for (int attempt = 0; attempt < 4 && !beliefs[host].is_doubtful(engines_of_a, now); ++attempt) {
                    ++failures;
                    if (beliefs[host].record_failure(engines_of_a, engine(attempt), servers_of_a, now))
                        in_transit.push_back({ now + 5ms, host });
                }
            }
            // Evidence lapses after two seconds without probes, and then two hosts find out again.
            auto const seconds = 4 * hosts * 10 / 1000;
            CHECK(failures <= 4 * (1 + seconds / 2));
        }
    }
}
