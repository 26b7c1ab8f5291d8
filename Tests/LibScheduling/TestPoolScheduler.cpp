/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibScheduling/PoolScheduler.h>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace Scheduling;

static EngineId const engine_a("engine-a");
static EngineId const engine_b("engine-b");
static Instant const start = Instant() + 100s;

struct Pool {
    explicit Pool(double capacity = 10'000)
        : scheduler(ForecastAdmission(this->constants), this->constants)
    {
        for (auto const& id : { engine_a, engine_b }) {
            this->scheduler.put_engine(id, Address(id.value()), capacity, start);
            this->scheduler.load_report(id, {}, start);
        }
    }

    SubmitRequest request(std::string const& id, std::string const& organisation = "toll") const
    {
        SubmitRequest submit;
        submit.generation = GenerationId(id);
        submit.attempt = AttemptNumber(1);
        submit.forecast_key = { OrganisationId(organisation), RouteName("r"), ModelId("m") };
        submit.prompt = TokenCount(500);
        submit.maximum_output = TokenCount(2000);
        return submit;
    }

    std::vector<Action> submit(SubmitRequest const& request, Instant now = start)
    {
        this->scheduler.submit(request, now);
        return this->scheduler.admit(now);
    }

    /// Submits requests until one has to wait. Returns the number of the placed ones.
    int fill(std::string const& organisation = "toll")
    {
        for (int count = 0;; ++count) {
            auto id = organisation + std::to_string(count);
            auto submitted = this->request(id, organisation);
            submitted.deadline = 1000s;
            if (this->submit(submitted).empty())
                return count;
        }
    }

    PolicyConstants constants;
    PoolScheduler<ForecastAdmission> scheduler;
};

static PlaceAction const& placed(std::vector<Action> const& actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<PlaceAction>(actions[0]));
    return std::get<PlaceAction>(actions[0]);
}

static Error const& refused(std::vector<Action> const& actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<RefuseAction>(actions[0]));
    return std::get<RefuseAction>(actions[0]).error;
}

SCENARIO("a request goes to an engine with free capacity")
{
    Pool pool;
    auto first = placed(pool.submit(pool.request("g1")));
    auto second = placed(pool.submit(pool.request("g2")));
    CHECK(first.engine != second.engine);

    WHEN("one engine is draining")
    {
        pool.scheduler.set_draining(engine_a, true);
        for (int i = 0; i < 5; ++i)
            CHECK(placed(pool.submit(pool.request("d" + std::to_string(i)))).engine == engine_b);
    }
    WHEN("an engine has been silent for longer than the limit")
    {
        auto later = start + pool.constants.silence_limit + 1s;
        pool.scheduler.load_report(engine_b, {}, later);
        (void)pool.scheduler.tick(later);
        CHECK(placed(pool.submit(pool.request("s"), later)).engine == engine_b);
    }
    WHEN("an engine refused it before")
    {
        auto again = pool.request("x");
        again.excluded_engines = { engine_a };
        CHECK(placed(pool.submit(again)).engine == engine_b);
    }
    WHEN("a report shows work that other processes placed on an engine")
    {
        LoadReport report;
        report.used_tokens = 9500;
        pool.scheduler.load_report(engine_a, report, start);
        CHECK(placed(pool.submit(pool.request("f"))).engine == engine_b);
    }
    WHEN("its prefix is cached on one engine")
    {
        pool.scheduler.prefix_cached(engine_b, 77, true);
        auto cached = pool.request("p");
        cached.prefix_hash = 77;
        CHECK(placed(pool.submit(cached)).engine == engine_b);
    }
}

SCENARIO("requests wait while memory is short, and are placed once it is free")
{
    Pool pool;
    auto count = pool.fill();
    CHECK(count > 4);
    CHECK(pool.scheduler.view().queued_count == 1);
    auto actions = std::vector<Action>();
    for (int i = 0; i < count && actions.empty(); ++i) {
        pool.scheduler.finished(
            GenerationId("toll" + std::to_string(i)), AttemptNumber(1), EndReason::Completed, TokenCount(50), start);
        actions = pool.scheduler.admit(start);
    }
    CHECK(placed(actions).generation == GenerationId("toll" + std::to_string(count)));
}

SCENARIO("a request that cannot be served in time is refused at once, with when to come back")
{
    Pool pool;
    pool.fill();
    WHEN("the queue is longer than its deadline allows")
    {
        auto hasty = pool.request("hasty");
        hasty.deadline = 1ms;
        auto const error = refused(pool.submit(hasty));
        CHECK(error.kind == ErrorKind::Overloaded);
        REQUIRE(error.retry_after);
        CHECK(*error.retry_after >= 1s);
    }
    WHEN("its deadline passes while it waits")
    {
        auto actions = pool.scheduler.tick(start + 1001s);
        CHECK(refused(actions).kind == ErrorKind::DeadlineUnreachable);
        CHECK(refused(actions).retry_after);
        CHECK(pool.scheduler.view().queued_count == 0);
    }
    WHEN("its organisation is at its limit")
    {
        auto limited = pool.request("limited");
        limited.maximum_concurrency = 2;
        CHECK(refused(pool.submit(limited)).kind == ErrorKind::OverLimit);
    }
}

SCENARIO("a pool without engines refuses at once, and one that expects reports of its engines queues")
{
    Pool pool;
    auto later = start + pool.constants.silence_limit + 1s;
    (void)pool.scheduler.tick(later);
    auto const error = refused(pool.submit(pool.request("g1"), later));
    CHECK(error.kind == ErrorKind::NoBackendServer);
    CHECK(error.retry_after);

    pool.scheduler.expect_reports(later);
    CHECK(pool.submit(pool.request("g2"), later).empty());
    pool.scheduler.load_report(engine_b, {}, later);
    CHECK(placed(pool.scheduler.admit(later)).engine == engine_b);
}

SCENARIO("a rate limit admits requests at its rate")
{
    Pool pool(1'000'000);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        auto limited = pool.request("r" + std::to_string(i));
        limited.maximum_rate = 5;
        auto actions = pool.submit(limited, start + i * 100ms);
        admitted += std::holds_alternative<PlaceAction>(actions.at(0));
    }
    CHECK(admitted >= 48);
    CHECK(admitted <= 55);
}

SCENARIO("a greedy organisation does not starve another")
{
    Pool pool;
    auto count = pool.fill("greedy");
    for (int i = 0; i < 20; ++i) {
        auto more = pool.request("more" + std::to_string(i), "greedy");
        more.deadline = 1000s;
        (void)pool.submit(more);
    }
    auto modest = pool.request("modest", "modest");
    modest.deadline = 1000s;
    CHECK(pool.submit(modest).empty());
    WHEN("capacity becomes free")
    {
        std::vector<Action> actions;
        for (int i = 0; i < count && actions.empty(); ++i) {
            pool.scheduler.finished(GenerationId("greedy" + std::to_string(i)), AttemptNumber(1), EndReason::Completed,
                TokenCount(50), start + 1s);
            actions = pool.scheduler.admit(start + 1s);
        }
        REQUIRE_FALSE(actions.empty());
        CHECK(std::get<PlaceAction>(actions[0]).generation == GenerationId("modest"));
    }
}

SCENARIO("a repeated submit gets the same response")
{
    Pool pool;
    auto first = placed(pool.submit(pool.request("g1")));
    auto again = placed(pool.submit(pool.request("g1")));
    CHECK(first.engine == again.engine);
    CHECK(pool.scheduler.view().generation_of_id.size() == 1);
    WHEN("the next attempt is submitted")
    {
        auto next = pool.request("g1");
        next.attempt = AttemptNumber(2);
        next.excluded_engines = { first.engine };
        CHECK(placed(pool.submit(next)).engine != first.engine);
        THEN("a report about the previous attempt is ignored")
        {
            pool.scheduler.finished(GenerationId("g1"), AttemptNumber(1), EndReason::Completed, TokenCount(5), start);
            CHECK(pool.scheduler.knows(GenerationId("g1")));
        }
    }
}

SCENARIO("a new owner rebuilds the running generations from reports of the gateways")
{
    Pool pool;
    pool.scheduler.rebuild(
        { GenerationId("g"), AttemptNumber(1), { OrganisationId("toll"), RouteName("r"), ModelId("m") },
            TokenCount(500), TokenCount(40), TokenCount(2000), engine_a },
        start);
    CHECK(pool.scheduler.view().engines[0].generations.size() == 1);
    WHEN("the engine does not list it")
    {
        CHECK(pool.scheduler.find_unlisted_generations(engine_a, {}, start + 1s).size() == 1);
    }
    WHEN("the engine is removed")
    {
        pool.scheduler.remove_engine(engine_a);
        CHECK_FALSE(pool.scheduler.knows(GenerationId("g")));
        CHECK(placed(pool.submit(pool.request("next"))).engine == engine_b);
    }
}

TEST_CASE("each request gets one answer, and the books balance", "[property]")
{
    rc::prop("pool scheduler", [] {
        Pool pool;
        std::map<std::string, int> responses;
        std::vector<std::string> running;
        auto now = start;
        int next = 0;
        auto record = [&](std::vector<Action> const& actions) {
            for (auto const& action : actions) {
                if (auto const* place = std::get_if<PlaceAction>(&action)) {
                    ++responses[place->generation.value()];
                    running.push_back(place->generation.value());
                } else {
                    ++responses[std::get<RefuseAction>(action).generation.value()];
                    RC_ASSERT(std::get<RefuseAction>(action).error.retry_after.has_value());
                }
            }
        };
        auto steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1: {
                ++next;
                auto request = pool.request("g" + std::to_string(next), "o" + std::to_string(next % 3));
                request.prompt = TokenCount(*rc::gen::inRange(1, 6000));
                request.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
                request.maximum_concurrency = *rc::gen::inRange(0u, 12u);
                responses[request.generation.value()] += 0;
                record(pool.submit(request, now));
                break;
            }
            case 2:
                if (!running.empty()) {
                    auto position = *rc::gen::inRange<size_t>(0, running.size());
                    pool.scheduler.finished(GenerationId(running[position]), AttemptNumber(1),
                        *rc::gen::element(EndReason::Completed, EndReason::Censored, EndReason::NotStarted),
                        TokenCount(*rc::gen::inRange(1, 400)), now);
                    running.erase(running.begin() + static_cast<std::ptrdiff_t>(position));
                    record(pool.scheduler.admit(now));
                }
                break;
            case 3:
                if (!running.empty())
                    pool.scheduler.first_token(GenerationId(*rc::gen::elementOf(running)), now);
                break;
            default:
                pool.scheduler.load_report(*rc::gen::element(engine_a, engine_b), {}, now);
                record(pool.scheduler.tick(now));
            }
            auto const& tables = pool.scheduler.view();
            size_t on_engines = tables.engines[0].generations.size() + tables.engines[1].generations.size();
            RC_ASSERT(on_engines == running.size());
            RC_ASSERT(tables.generation_of_id.size() == running.size() + tables.queued_count);
            for (auto const& engine : tables.engines)
                RC_ASSERT(engine.prefill_backlog >= 0.0);
        }
        // Each queued request gets its response when its deadline passes.
        record(pool.scheduler.tick(now + 30s));
        for (auto const& [generation, count] : responses)
            RC_ASSERT(count == 1);
    });
}
