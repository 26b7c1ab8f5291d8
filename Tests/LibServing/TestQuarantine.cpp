/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Quarantine.h>
#include <random>
#include <rapidcheck/catch.h>

using namespace Serving;

using Change = Quarantine::Change;

static RequestFingerprint request(u64 number, std::string const& organisation = "plaza")
{
    return { OrganisationId(organisation), number };
}

static ServerProcess process(int number, i64 start = 1)
{
    return { EngineId("e" + std::to_string(number)), ServerStart(start) };
}

SCENARIO("a request is quarantined after three servers terminated while running it")
{
    Quarantine quarantine;
    Instant now { 100s };
    auto const cause = request(1);
    CHECK(quarantine.record_termination(cause, process(1), now) == Change::Suspected);
    CHECK(quarantine.record_termination(cause, process(1), now) == Change::Nothing);
    CHECK(quarantine.record_termination(cause, process(1, 2), now) == Change::Suspected);

    WHEN("a third process terminates")
    {
        CHECK(quarantine.record_termination(cause, process(2), now) == Change::Held);
        THEN("it is quarantined for an hour, and no other request is")
        {
            CHECK(quarantine.held_for(cause, now) == Quarantine::retention_time);
            CHECK(!quarantine.held_for(request(2), now));
            CHECK(!quarantine.held_for(request(1, "market"), now));
        }
        AND_WHEN("the hour has passed")
        {
            now += Quarantine::retention_time;
            THEN("it may be sent again, and its entry is removed")
            {
                CHECK(!quarantine.held_for(cause, now));
                CHECK(quarantine.forget_expired(now) == std::vector { cause });
                CHECK(quarantine.all().empty());
            }
        }
        AND_WHEN("a run of it that had already started completes")
        {
            CHECK(quarantine.clear(cause, now));
            THEN("the quarantine ends") { CHECK(!quarantine.held_for(cause, now)); }
            THEN("a late report does not restore it")
            {
                CHECK(quarantine.merge(cause, { process(1), process(2), process(3) }, 1h, now) == Change::Nothing);
            }
        }
    }
    WHEN("a run of it completes before that")
    {
        CHECK(quarantine.clear(cause, now));
        THEN("it is no longer suspected")
        {
            CHECK(quarantine.all().empty());
            CHECK(!quarantine.clear(cause, now));
        }
    }
    WHEN("another host has quarantined it")
    {
        CHECK(quarantine.merge(cause, {}, 20min, now) == Change::Held);
        THEN("it is quarantined here for the same time")
        {
            CHECK(quarantine.held_for(cause, now) == Duration(20min));
            CHECK(quarantine.merge(cause, {}, 20min, now) == Change::Nothing);
        }
    }
    WHEN("another host reports a quarantine longer than the maximum")
    {
        quarantine.merge(cause, {}, 1000h, now);
        THEN("it is limited to an hour") { CHECK(quarantine.held_for(cause, now) == Quarantine::retention_time); }
    }
}

SCENARIO("requests that ran beside the cause of terminations are not quarantined")
{
    Quarantine quarantine;
    Instant const now { 100s };
    auto const cause = request(1);
    auto const bystander = request(2);
    GIVEN("three servers that terminate under both, with the bystander recorded first")
    {
        quarantine.record_termination(bystander, process(1), now);
        quarantine.record_termination(cause, process(1), now);
        quarantine.record_termination(bystander, process(2), now);
        quarantine.record_termination(cause, process(2), now);
        quarantine.record_termination(cause, process(3), now);
        CHECK(quarantine.held_for(cause, now));
        THEN("the bystander is cleared")
        {
            CHECK(!quarantine.all().contains(bystander));
            CHECK(quarantine.record_termination(bystander, process(3), now) == Change::Nothing);
        }
        WHEN("a run of the cause that had already started terminates a fourth server")
        {
            quarantine.record_termination(bystander, process(4), now);
            CHECK(quarantine.all().contains(bystander));
            quarantine.record_termination(cause, process(4), now);
            THEN("that one is not attributed to the bystander either") { CHECK(!quarantine.all().contains(bystander)); }
        }
    }
}

SCENARIO("a flood of suspected requests of one organisation evicts only its own entries")
{
    Quarantine quarantine;
    Instant now { 100s };
    auto const cause = request(1, "market");
    for (int i = 0; i < 3; ++i)
        quarantine.record_termination(cause, process(i), now);
    for (u64 i = 0; i < 10'000; ++i) {
        now += 1ms;
        quarantine.record_termination(request(i), process(static_cast<int>(10 + i)), now);
    }
    CHECK(quarantine.held_for(cause, now));
    CHECK(quarantine.all().size() < 100);
    CHECK(quarantine.dropped() > 9900);
}

SCENARIO("the quarantine does not depend on the order or number of reports")
{
    rc::prop("for any reports", [] {
        // Each process terminates while running a single request, since with several it would be unknown which one is
        // the cause.
        auto const causes = *rc::gen::container<std::vector<u8>>(12, rc::gen::inRange<u8>(0, 4));
        auto const reports = *rc::gen::container<std::vector<size_t>>(30, rc::gen::inRange<size_t>(0, causes.size()));
        Instant const now { 100s };
        auto apply = [&](std::vector<size_t> const& order) {
            Quarantine quarantine;
            for (auto report : order)
                quarantine.merge(request(causes[report]), { process(static_cast<int>(report)) }, 0s, now);
            std::map<RequestFingerprint, std::pair<std::set<ServerProcess>, bool>> known;
            for (auto const& [fingerprint, entry] : quarantine.all())
                known[fingerprint] = { entry.terminated_under, entry.held_until.has_value() };
            return known;
        };
        auto reversed = reports;
        std::ranges::reverse(reversed);
        auto sorted = reports;
        std::ranges::sort(sorted);
        RC_ASSERT(apply(reports) == apply(reversed));
        RC_ASSERT(apply(reports) == apply(sorted));
    });
}

SCENARIO("random crashes of servers quarantine hardly any request")
{
    // Far more crashes than in practice: one run out of twenty is interrupted by a crash, and each caller retries until
    // it is served.
    constexpr double interrupted_share = 0.05;
    constexpr int requests = 20'000;
    std::mt19937 random(7);
    std::bernoulli_distribution is_interrupted(interrupted_share);
    Quarantine quarantine;
    Instant now { 100s };
    int crashes = 0;
    int held = 0;
    for (int i = 0; i < requests; ++i) {
        now += 50ms;
        auto const harmless = request(static_cast<u64>(i));
        while (is_interrupted(random) && !quarantine.held_for(harmless, now))
            quarantine.record_termination(harmless, process(++crashes), now);
        held += quarantine.held_for(harmless, now) ? 1 : 0;
        quarantine.clear(harmless, now);
    }
    CHECK(crashes > 900);
    // The expected share is a twentieth to the third power; the limit is one in a thousand.
    CHECK(held <= requests / 1000);
}
