/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Admission.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

constexpr TokenCount memory(21'878);
constexpr u32 slots = 24;

/// The engines of a service as known by one host in hall-a.
struct Pool {
    Backend& add(std::string const& id, std::string const& domain = "hall-a")
    {
        BackendServer server;
        server.id = EngineId(id);
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = FailureDomainId(domain);
        server.slots = slots;
        return *this->table.update(server, this->now);
    }

    [[nodiscard]] Admission decide(i64 prompt = 3000, i64 expected = 400, Duration due_in = 1800ms)
    {
        ChoiceInputs const inputs { FailureDomainId("hall-a"), {}, this->now, 0.3, {}, FailureDomainId("hall-a") };
        return admit(this->table.of_service(ServiceName("models")), this->tried,
            { { TokenCount(prompt), TokenCount(expected) }, due_in }, memory, inputs, this->random);
    }

    BackendTable table;
    std::vector<EngineId> tried;
    boost::random::mt19937 random { 7 };
    Instant now { 100s };
};

}

SCENARIO("a generation is refused at once while no engine has room for it")
{
    Pool pool;
    auto& engine = pool.add("a1");
    CHECK(pool.decide().engine->server.id == EngineId("a1"));

    WHEN("its free memory is smaller than the generation will need")
    {
        engine.engine.own_tokens = memory.value() - 3399;
        auto const decision = pool.decide();
        CHECK(decision.verdict == AdmissionVerdict::NoCapacity);
        CHECK(decision.serving == 1);
        CHECK(decision.with_capacity == 0);
        CHECK(decision.retry_after > 0s);
        THEN("a smaller one is admitted") { CHECK(pool.decide(2000, 20).verdict == AdmissionVerdict::Admit); }
        THEN("it is admitted once there is enough free memory")
        {
            engine.engine.own_tokens -= 1;
            CHECK(pool.decide().verdict == AdmissionVerdict::Admit);
        }
    }
    WHEN("the backlog of unread prompts would delay its first event beyond the goal")
    {
        engine.engine.own_unread_tokens = 10'000;
        CHECK(pool.decide(3000, 400, 1800ms).verdict == AdmissionVerdict::NoCapacity);
        THEN("one that is due later is admitted")
        {
            CHECK(pool.decide(3000, 400, 2s).verdict == AdmissionVerdict::Admit);
        }
    }
    WHEN("the prompt alone takes longer to read than its route's goal")
    {
        engine.engine.own_unread_tokens = 3000;
        CHECK(pool.decide(3000, 400, 100ms).verdict == AdmissionVerdict::Admit);
        THEN("the backlog ahead of it may be no larger than the prompt itself")
        {
            engine.engine.own_unread_tokens += 1;
            CHECK(pool.decide(3000, 400, 100ms).verdict == AdmissionVerdict::NoCapacity);
        }
    }
    WHEN("all its slots are taken")
    {
        engine.engine.own_generations = slots;
        CHECK(pool.decide().verdict == AdmissionVerdict::NoCapacity);
    }
    WHEN("it has been tried already")
    {
        pool.tried.emplace_back("a1");
        CHECK(pool.decide().verdict == AdmissionVerdict::NoCapacity);
    }
    WHEN("its domain is evacuated")
    {
        pool.table.set_evacuated(FailureDomainId("hall-a"), true);
        auto const decision = pool.decide();
        CHECK(decision.verdict == AdmissionVerdict::NoEngine);
        CHECK(decision.retry_after > 0s);
    }
    WHEN("the prompt is larger than its memory")
    {
        CHECK(pool.decide(memory.value() + 1).verdict == AdmissionVerdict::TooLarge);
    }
    WHEN("the prompt fits, but the expected output does not")
    {
        CHECK(pool.decide(20'000, 5000, 10s).verdict == AdmissionVerdict::Admit);
    }
}

SCENARIO("an engine in another domain needs free memory for two more generations of the same size")
{
    Pool pool;
    auto& remote = pool.add("b1", "hall-b");
    remote.engine.peer_tokens = memory.value() - 3 * 3400 + 1;
    CHECK(pool.decide().verdict == AdmissionVerdict::NoCapacity);
    remote.engine.peer_tokens -= 1;
    CHECK(pool.decide().verdict == AdmissionVerdict::Admit);
}

SCENARIO("callers rejected together are told to retry at different times")
{
    Pool pool;
    pool.add("a1").engine.own_generations = slots;
    std::set<Duration> returns;
    for (int i = 0; i < 50; ++i) {
        auto const retry_after = pool.decide().retry_after;
        CHECK(retry_after >= 200ms);
        CHECK(retry_after <= 400ms);
        returns.insert(retry_after);
    }
    CHECK(returns.size() > 40);
}

SCENARIO("whatever is believed of a pool, admission keeps to it")
{
    CHECK(rc::check([] {
        Pool pool;
        auto const engines = *rc::gen::inRange(1, 12);
        for (int i = 0; i < engines; ++i) {
            auto& backend = pool.add("e" + std::to_string(i), *rc::gen::arbitrary<bool>() ? "hall-a" : "hall-b");
            backend.engine.own_tokens = *rc::gen::inRange<i64>(0, 15'000);
            backend.engine.peer_tokens = *rc::gen::inRange<i64>(0, 15'000);
            backend.engine.peer_unread_tokens = *rc::gen::inRange<i64>(0, 12'000);
            backend.engine.peer_generations = *rc::gen::inRange<u32>(0, 30);
            backend.availability = *rc::gen::element(Availability::Serving, Availability::Leaving);
        }
        auto const prompt = *rc::gen::inRange<i64>(1, 25'000);
        auto const expected = *rc::gen::inRange<i64>(0, 3000);
        auto const decision = pool.decide(prompt, expected, std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
        if (decision.verdict != AdmissionVerdict::Admit) {
            RC_ASSERT(!decision.engine);
            RC_ASSERT(decision.with_capacity == 0u);
            return;
        }
        auto const& engine = *decision.engine;
        RC_ASSERT(engine.takes_work());
        RC_ASSERT(engine.engine.generations() < slots);
        RC_ASSERT(engine.engine.tokens() + prompt <= memory.value());
    }));
    CHECK(rc::check("an idle engine admits any prompt that fits its memory", [] {
        Pool pool;
        auto const engines = *rc::gen::inRange(1, 12);
        for (int i = 0; i < engines; ++i)
            pool.add("e" + std::to_string(i), *rc::gen::arbitrary<bool>() ? "hall-a" : "hall-b");
        auto const prompt = *rc::gen::inRange<i64>(1, memory.value() + 1);
        auto const expected = *rc::gen::inRange<i64>(0, 1'000'000);
        auto const due_in = std::chrono::milliseconds(*rc::gen::inRange(-1000, 3000));
        RC_ASSERT(pool.decide(prompt, expected, due_in).verdict == AdmissionVerdict::Admit);
    }));
}

SCENARIO("long drafts and urgent tags ask for the same engines in a burst")
{
    Pool pool;
    auto& engine = pool.add("a1");
    std::vector<Overload::GenerationKind> const tags { { 0, 1500ms, TokenCount(2200), TokenCount(10) } };
    ChoiceInputs const inputs { FailureDomainId("hall-a"), {}, pool.now, 0.3, {}, FailureDomainId("hall-a") };
    auto decide_with = [&](AdmissionDemand const& demand) {
        return admit(pool.table.of_service(ServiceName("models")), {}, demand, memory, inputs, pool.random);
    };
    auto draft = [&] { return decide_with({ { TokenCount(3000), TokenCount(400) }, 4s, tags, tags }); };
    auto tag = [&] { return decide_with({ { TokenCount(2200), TokenCount(10) }, 1500ms, {}, tags }); };
    engine.engine.own_generations = 1;

    WHEN("the prompts that are not read yet leave time for a tag, but not for a draft and a tag")
    {
        engine.engine.own_unread_tokens = 6000;
        CHECK(tag().verdict == AdmissionVerdict::Admit);
        CHECK(draft().verdict == AdmissionVerdict::NoCapacity);
        THEN("the draft is admitted outside of a shortage, when nothing is kept free")
        {
            CHECK(decide_with({ { TokenCount(3000), TokenCount(400) }, 4s }).verdict == AdmissionVerdict::Admit);
        }
    }
    WHEN("the memory is sufficient for a draft alone")
    {
        engine.engine.own_tokens = memory.value() - 3400 - 2209;
        CHECK(draft().verdict == AdmissionVerdict::NoCapacity);
        CHECK(tag().verdict == AdmissionVerdict::Admit);
        engine.engine.own_tokens -= 1;
        CHECK(draft().verdict == AdmissionVerdict::Admit);
    }
    WHEN("one slot is free")
    {
        engine.engine.own_generations = slots - 1;
        CHECK(draft().verdict == AdmissionVerdict::NoCapacity);
        CHECK(tag().verdict == AdmissionVerdict::Admit);
    }
    WHEN("no engine has capacity for a tag")
    {
        engine.engine.own_unread_tokens = 9000;
        CHECK_FALSE(draft().has_capacity_for_most_urgent);
        CHECK_FALSE(tag().has_capacity_for_most_urgent);
        engine.engine.own_unread_tokens = 1000;
        CHECK(draft().has_capacity_for_most_urgent);
    }
    WHEN("the engine has nothing to run")
    {
        engine.engine.own_generations = 0;
        THEN("even the largest draft is admitted")
        {
            AdmissionDemand const largest { { TokenCount(21'000), TokenCount(5000) }, 4s, tags, tags };
            CHECK(decide_with(largest).verdict == AdmissionVerdict::Admit);
        }
    }
}

SCENARIO("in a shortage, an urgent generation is never refused while a less urgent one is admitted")
{
    CHECK(rc::check([] {
        Pool pool;
        auto const engines = *rc::gen::inRange(1, 8);
        for (int i = 0; i < engines; ++i) {
            auto& backend = pool.add("e" + std::to_string(i), *rc::gen::arbitrary<bool>() ? "hall-a" : "hall-b");
            backend.engine.own_generations = *rc::gen::inRange<u32>(0, 25);
            backend.engine.own_tokens = *rc::gen::inRange<i64>(0, 25'000);
            backend.engine.peer_unread_tokens = *rc::gen::inRange<i64>(0, 15'000);
        }
        std::vector<Overload::GenerationKind> const urgent { { 0, Duration(*rc::gen::inRange<i64>(200, 2000) * 1ms),
            TokenCount(*rc::gen::inRange<i64>(1, 3000)), TokenCount(*rc::gen::inRange<i64>(1, 100)) } };
        ChoiceInputs const inputs { FailureDomainId("hall-a"), {}, pool.now, 0.3, {}, FailureDomainId("hall-a") };
        auto const& all = pool.table.of_service(ServiceName("models"));
        GenerationNeed const larger { TokenCount(*rc::gen::inRange<i64>(3000, 6000)),
            TokenCount(*rc::gen::inRange<i64>(100, 2000)) };
        auto const less_urgent = admit(all, {}, { larger, 4s, urgent, urgent }, memory, inputs, pool.random);
        GenerationNeed const usual { urgent.front().prompt, urgent.front().expected_output };
        AdmissionDemand const demand { usual, urgent.front().first_event_goal, {}, urgent };
        auto const most_urgent = admit(all, {}, demand, memory, inputs, pool.random);
        if (less_urgent.verdict == AdmissionVerdict::Admit)
            RC_ASSERT(most_urgent.verdict == AdmissionVerdict::Admit);
    }));
}
