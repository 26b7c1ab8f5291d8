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

SCENARIO("a request is held back once three servers have ended under it")
{
    Quarantine quarantine;
    Instant now { 100s };
    auto const guilty = request(1);
    CHECK(quarantine.record_termination(guilty, process(1), now) == Change::Suspected);
    CHECK(quarantine.record_termination(guilty, process(1), now) == Change::Nothing);
    CHECK(quarantine.record_termination(guilty, process(1, 2), now) == Change::Suspected);

    WHEN("a third process ends")
    {
        CHECK(quarantine.record_termination(guilty, process(2), now) == Change::Held);
        THEN("it is held back for an hour, and no other request is")
        {
            CHECK(quarantine.held_for(guilty, now) == Quarantine::retention_time);
            CHECK(!quarantine.held_for(request(2), now));
            CHECK(!quarantine.held_for(request(1, "market"), now));
        }
        AND_WHEN("the hour is over")
        {
            now += Quarantine::retention_time;
            THEN("it may be sent again, and begins anew")
            {
                CHECK(!quarantine.held_for(guilty, now));
                CHECK(quarantine.forget_expired(now) == std::vector { guilty });
                CHECK(quarantine.all().empty());
            }
        }
        AND_WHEN("a run of it that was under way ends well")
        {
            CHECK(quarantine.clear(guilty, now));
            THEN("it is free") { CHECK(!quarantine.held_for(guilty, now)); }
            THEN("what is told late does not bring it back")
            {
                CHECK(quarantine.merge(guilty, { process(1), process(2), process(3) }, 1h, now) == Change::Nothing);
            }
        }
    }
    WHEN("it runs to its end somewhere before that")
    {
        CHECK(quarantine.clear(guilty, now));
        THEN("it is not suspected any more")
        {
            CHECK(quarantine.all().empty());
            CHECK(!quarantine.clear(guilty, now));
        }
    }
    WHEN("another host holds it back")
    {
        CHECK(quarantine.merge(guilty, {}, 20min, now) == Change::Held);
        THEN("it is held back here as long")
        {
            CHECK(quarantine.held_for(guilty, now) == Duration(20min));
            CHECK(quarantine.merge(guilty, {}, 20min, now) == Change::Nothing);
        }
    }
    WHEN("another host says that it is held back for longer than requests are")
    {
        quarantine.merge(guilty, {}, 1000h, now);
        THEN("an hour is believed") { CHECK(quarantine.held_for(guilty, now) == Quarantine::retention_time); }
    }
}

SCENARIO("requests that run beside a guilty one are not held back for it")
{
    Quarantine quarantine;
    Instant const now { 100s };
    auto const guilty = request(1);
    auto const innocent = request(2);
    GIVEN("three servers that end under both, the innocent one being noted first")
    {
        quarantine.record_termination(innocent, process(1), now);
        quarantine.record_termination(guilty, process(1), now);
        quarantine.record_termination(innocent, process(2), now);
        quarantine.record_termination(guilty, process(2), now);
        quarantine.record_termination(guilty, process(3), now);
        CHECK(quarantine.held_for(guilty, now));
        THEN("nothing is left of the innocent one's")
        {
            CHECK(!quarantine.all().contains(innocent));
            CHECK(quarantine.record_termination(innocent, process(3), now) == Change::Nothing);
        }
        WHEN("a run of the guilty one that was under way ends a fourth")
        {
            quarantine.record_termination(innocent, process(4), now);
            CHECK(quarantine.all().contains(innocent));
            quarantine.record_termination(guilty, process(4), now);
            THEN("that is not the innocent one's either") { CHECK(!quarantine.all().contains(innocent)); }
        }
    }
}

SCENARIO("one organisation's flood of such requests pushes out its own only")
{
    Quarantine quarantine;
    Instant now { 100s };
    auto const guilty = request(1, "market");
    for (int i = 0; i < 3; ++i)
        quarantine.record_termination(guilty, process(i), now);
    for (u64 i = 0; i < 10'000; ++i) {
        now += 1ms;
        quarantine.record_termination(request(i), process(static_cast<int>(10 + i)), now);
    }
    CHECK(quarantine.held_for(guilty, now));
    CHECK(quarantine.all().size() < 100);
    CHECK(quarantine.dropped() > 9900);
}

SCENARIO("what hosts know of ends is the same in whatever order words come, and however often")
{
    rc::prop("of any words", [] {
        // Each process is ended by one request: of several that ran there it cannot be told which one it was.
        auto const ends = *rc::gen::container<std::vector<u8>>(12, rc::gen::inRange<u8>(0, 4));
        auto const words = *rc::gen::container<std::vector<size_t>>(30, rc::gen::inRange<size_t>(0, ends.size()));
        Instant const now { 100s };
        auto hear = [&](std::vector<size_t> const& order) {
            Quarantine quarantine;
            for (auto word : order)
                quarantine.merge(request(ends[word]), { process(static_cast<int>(word)) }, 0s, now);
            std::map<RequestFingerprint, std::pair<std::set<ServerProcess>, bool>> known;
            for (auto const& [fingerprint, entry] : quarantine.all())
                known[fingerprint] = { entry.terminated_under, entry.held_until.has_value() };
            return known;
        };
        auto backwards = words;
        std::ranges::reverse(backwards);
        auto sorted = words;
        std::ranges::sort(sorted);
        RC_ASSERT(hear(words) == hear(backwards));
        RC_ASSERT(hear(words) == hear(sorted));
    });
}

SCENARIO("where servers crash by themselves, hardly any innocent request is held back")
{
    // Far more than on any bad day: one of twenty runs is cut by a crash, and each caller comes again until it is
    // served.
    constexpr double cut_runs = 0.05;
    constexpr int requests = 20'000;
    std::mt19937 random(7);
    std::bernoulli_distribution is_cut(cut_runs);
    Quarantine quarantine;
    Instant now { 100s };
    int crashes = 0;
    int held = 0;
    for (int i = 0; i < requests; ++i) {
        now += 50ms;
        auto const innocent = request(static_cast<u64>(i));
        while (is_cut(random) && !quarantine.held_for(innocent, now))
            quarantine.record_termination(innocent, process(++crashes), now);
        held += quarantine.held_for(innocent, now) ? 1 : 0;
        quarantine.clear(innocent, now);
    }
    CHECK(crashes > 900);
    // A twentieth to the third of them; one in a thousand is the limit.
    CHECK(held <= requests / 1000);
}
