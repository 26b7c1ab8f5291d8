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

/// A run that began after all terminations before `now`, as the next try of a caller does.
static InterruptedRun next_run(Instant now) { return { now, now }; }

/// The same for several processes.
static Terminations terminations(std::initializer_list<ServerProcess> processes, Instant now)
{
    Terminations result;
    for (auto const& one : processes)
        result.emplace(one, next_run(now));
    return result;
}

SCENARIO("a request is quarantined after three servers terminated while running it")
{
    Quarantine quarantine;
    Instant now { 100s };
    auto const cause = request(1);
    CHECK(quarantine.record_termination(cause, process(1), next_run(now), now) == Change::Suspected);
    CHECK(quarantine.record_termination(cause, process(1), next_run(now), now) == Change::Nothing);
    CHECK(quarantine.record_termination(cause, process(1, 2), next_run(now), now) == Change::Suspected);

    WHEN("a third process terminates")
    {
        CHECK(quarantine.record_termination(cause, process(2), next_run(now), now) == Change::Held);
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
                CHECK(quarantine.merge(cause, terminations({ process(1), process(2), process(3) }, now), 1h, now)
                    == Change::Nothing);
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
        quarantine.record_termination(bystander, process(1), next_run(now), now);
        quarantine.record_termination(cause, process(1), next_run(now), now);
        quarantine.record_termination(bystander, process(2), next_run(now), now);
        quarantine.record_termination(cause, process(2), next_run(now), now);
        quarantine.record_termination(cause, process(3), next_run(now), now);
        CHECK(quarantine.held_for(cause, now));
        THEN("the bystander is cleared")
        {
            CHECK(!quarantine.all().contains(bystander));
            CHECK(quarantine.record_termination(bystander, process(3), next_run(now), now) == Change::Nothing);
        }
        WHEN("a run of the cause that had already started terminates a fourth server")
        {
            quarantine.record_termination(bystander, process(4), next_run(now), now);
            CHECK(quarantine.all().contains(bystander));
            quarantine.record_termination(cause, process(4), next_run(now), now);
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
        quarantine.record_termination(cause, process(i), next_run(now), now);
    for (u64 i = 0; i < 10'000; ++i) {
        now += 1ms;
        quarantine.record_termination(request(i), process(static_cast<int>(10 + i)), next_run(now), now);
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
        // Some runs overlap, and some terminations come together.
        auto const ends = *rc::gen::container<std::vector<u8>>(12, rc::gen::inRange<u8>(0, 40));
        auto const spans = *rc::gen::container<std::vector<u8>>(12, rc::gen::inRange<u8>(0, 20));
        auto run_of = [&](int number) {
            auto const ended = Instant(60s) + ends[static_cast<size_t>(number)] * 250ms;
            return InterruptedRun { ended - spans[static_cast<size_t>(number)] * 100ms, ended };
        };
        auto apply = [&](std::vector<size_t> const& order) {
            Quarantine quarantine;
            for (auto report : order) {
                auto const number = static_cast<int>(report);
                quarantine.merge(request(causes[report]), { { process(number), run_of(number) } }, 0s, now);
            }
            std::map<RequestFingerprint, std::pair<Terminations, bool>> known;
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

// Guards against one event that is counted once for each server that it hits.
SCENARIO("terminations that come together under runs in progress are one event")
{
    Instant const at { 100s };
    auto run = [&](Duration began, Duration ended) { return InterruptedRun { at + began, at + ended }; };
    GIVEN("servers that terminate almost at once")
    {
        CHECK(count_events({ { process(1), run(-300ms, 0s) }, { process(2), run(-200ms, 1ms) },
                  { process(3), run(-10ms, 400ms) } })
            == 1);
    }
    GIVEN("a run that began after the first termination")
    {
        CHECK(count_events({ { process(1), run(-300ms, 0s) }, { process(2), run(1ms, 200ms) } }) == 2);
    }
    GIVEN("runs in progress together whose servers terminate one after another")
    {
        CHECK(count_events(
                  { { process(1), run(-5s, 0s) }, { process(2), run(-5s, 1500ms) }, { process(3), run(-5s, 3s) } })
            == 3);
    }
    GIVEN("a chain of overlapping runs, each of which terminates its server")
    {
        Terminations chain;
        for (int i = 0; i < 20; ++i)
            chain.emplace(process(i), run(i * 100ms, i * 100ms + 250ms));
        THEN("each event ends with the first run that began after it") { CHECK(count_events(chain) == 7); }
    }
    GIVEN("no termination") { CHECK(count_events({}) == 0); }
}

// Guards against requests of an organisation that are all refused because some servers crashed together once.
SCENARIO("servers that crash together under several requests hold back neither these nor what they share")
{
    Quarantine quarantine;
    Instant const now { 100s };
    RequestFingerprint const shared { OrganisationId("plaza"), 900, 1 };
    for (int i = 0; i < 9; ++i) {
        InterruptedRun const run { now - 300ms + i * 10ms, now + i * 5ms };
        quarantine.record_termination(request(static_cast<u64>(i)), process(i), run, now + i * 5ms);
        CHECK(quarantine.record_termination(shared, process(i), run, now + i * 5ms) != Change::Held);
    }
    CHECK_FALSE(quarantine.refused_for(shared, now + 1s));
    WHEN("further requests with that part terminate one server after another")
    {
        for (int i = 10; i < 12; ++i)
            quarantine.record_termination(shared, process(i), next_run(now + i * 1s), now + i * 1s);
        THEN("it is quarantined") { CHECK(quarantine.refused_for(shared, now + 11s)); }
    }
}

SCENARIO("a quarantined part is tried again by single requests")
{
    Quarantine quarantine;
    Instant now { 100s };
    RequestFingerprint const part { OrganisationId("plaza"), 900, 2 };
    for (int i = 0; i < 3; ++i)
        quarantine.record_termination(part, process(i), next_run(now), now);
    CHECK(quarantine.refused_for(part, now) == Quarantine::first_trial_pause);
    now += Quarantine::first_trial_pause;
    CHECK_FALSE(quarantine.refused_for(part, now));

    WHEN("one request tries it")
    {
        CHECK(quarantine.begin_trial(part, now));
        THEN("no other one does meanwhile")
        {
            CHECK(quarantine.refused_for(part, now + 1s) == Quarantine::first_trial_pause - 1s);
        }
        AND_WHEN("its server terminates too")
        {
            auto const began = now;
            now += 300ms;
            quarantine.record_termination(part, process(9), { began, now }, now);
            THEN("the next trial comes later")
            {
                CHECK(quarantine.refused_for(part, now)
                    == Quarantine::first_trial_pause * Quarantine::trial_pause_growth);
            }
        }
        AND_WHEN("it receives its first event")
        {
            quarantine.clear(part, now);
            THEN("all requests with the part are served") { CHECK_FALSE(quarantine.refused_for(part, now)); }
        }
    }
    WHEN("another host has begun a trial")
    {
        quarantine.postpone_trial(part, 10s, now);
        THEN("this host waits for the next one") { CHECK(quarantine.refused_for(part, now) == Duration(10s)); }
    }
    WHEN("trials fail again and again")
    {
        std::vector<Duration> pauses;
        for (int i = 20; i < 25; ++i) {
            CHECK(quarantine.begin_trial(part, now));
            quarantine.record_termination(part, process(i), { now, now + 1ms }, now + 1ms);
            now += 1ms;
            pauses.push_back(quarantine.refused_for(part, now).value());
            now += pauses.back();
        }
        THEN("they become rare, up to one an hour")
        {
            CHECK(pauses == std::vector<Duration> { 40s, 160s, 640s, 2560s, 1h });
        }
    }
    WHEN("a host tries later than others")
    {
        quarantine.set_trial_offset(500ms);
        CHECK(quarantine.refused_for(part, now) == Duration(500ms));
    }
    GIVEN("a whole request")
    {
        for (int i = 0; i < 3; ++i)
            quarantine.record_termination(request(1), process(30 + i), next_run(now), now);
        THEN("it is not tried before its quarantine is over")
        {
            CHECK(quarantine.refused_for(request(1), now + 30min) == Duration(30min));
            CHECK_FALSE(quarantine.begin_trial(request(1), now));
        }
    }
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
            quarantine.record_termination(harmless, process(++crashes), next_run(now), now);
        held += quarantine.held_for(harmless, now) ? 1 : 0;
        quarantine.clear(harmless, now);
    }
    CHECK(crashes > 900);
    // The expected share is a twentieth to the third power; the limit is one in a thousand.
    CHECK(held <= requests / 1000);
}
