/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Admission.h>
#include <LibServing/EngineClaim.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

constexpr TokenCount memory(26'892);
constexpr Overload::EnginePace fast_pace { 16ms, 33ms, 13'500 };
constexpr Overload::EnginePace slow_pace { 36ms, 73ms, 6'200 };
constexpr Overload::StreamDemand long_stream { 3000, 188, 180ms, 180ms };
constexpr Overload::StreamDemand short_stream { 2200, 2, 180ms, 180ms };
constexpr double copied_tokens_per_second = 18'000;

/// Engines whose machines are slow for a seventh of the time.
struct SharedMachines {
    SharedMachines()
    {
        for (int i = 0; i < 140; ++i)
            this->slowness.record(Overload::Slowness(i % 7 == 0 ? 2.5 : 1), this->now);
    }

    Backend& add(std::string const& id, Overload::EnginePace const& pace)
    {
        BackendServer server;
        server.id = EngineId(id);
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = FailureDomainId("hall-a");
        server.slots = 24;
        auto& backend = *this->table.update(server, this->now);
        backend.pace = pace;
        return backend;
    }

    /// The engine runs some streams of 3,400 tokens each.
    static void run_streams(Backend& backend, u32 count)
    {
        backend.engine.peer_generations = count;
        backend.engine.peer_streams = count;
        backend.engine.peer_tokens = 3400 * i64(count);
    }

    [[nodiscard]] ChoiceInputs inputs(Overload::StreamDemand const& stream) const
    {
        ChoiceInputs inputs { FailureDomainId("hall-a"), {}, this->now, 0.3, {}, FailureDomainId("hall-a") };
        inputs.slowness = &this->slowness;
        inputs.stream = stream;
        return inputs;
    }

    Admission decide(ChoiceInputs const& inputs)
    {
        auto const prompt = static_cast<i64>(inputs.stream ? inputs.stream->unread_tokens : 3000);
        return admit(this->table.of_service(ServiceName("models")), {},
            { { TokenCount(prompt), TokenCount(400) }, 1500ms }, memory, inputs, this->random);
    }

    std::string choose(Overload::StreamDemand const& stream)
    {
        return this->decide(this->inputs(stream)).engine->server.id.value();
    }

    std::string choose_target()
    {
        auto inputs = this->inputs({ 0, 100, 180ms, 180ms });
        inputs.copied_tokens_per_second = copied_tokens_per_second;
        return choose_for_generation(this->table.of_service(ServiceName("models")), {},
            { TokenCount(3400), TokenCount(0) }, memory, inputs, this->random)
            ->server.id.value();
    }

    Overload::SlownessDistribution slowness;
    BackendTable table;
    boost::random::mt19937 random { 7 };
    Instant now { 100s };
};

}

SCENARIO("prompts are read where they make no stream late")
{
    SharedMachines pool;
    auto& fast = pool.add("fast", fast_pace);
    auto& crowded = pool.add("with-streams", slow_pace);
    auto& empty = pool.add("without-streams", slow_pace);
    SharedMachines::run_streams(fast, 5);
    SharedMachines::run_streams(crowded, 1);
    // A few short generations, which hold more memory than the one stream beside them.
    empty.engine.peer_generations = 2;
    empty.engine.peer_tokens = 4400;
    // Some engine reads, so a stream on a slow engine risks its pauses.
    auto& reading = pool.add("reading", slow_pace);
    reading.engine.peer_tokens = reading.engine.peer_unread_tokens = 8000;

    THEN("a short prompt is read by the slow engine without streams")
    {
        CHECK(pool.choose(short_stream) == "without-streams");
    }
    THEN("while few streams fill the fast engine, it reads the short prompt, since it reads fastest")
    {
        SharedMachines::run_streams(fast, 2);
        CHECK(pool.choose(short_stream) == "fast");
    }
    THEN("a long stream is placed on the fast engine, where its pauses are never too long")
    {
        CHECK(pool.choose(long_stream) == "fast");
        AND_THEN("unless its memory is full")
        {
            SharedMachines::run_streams(fast, 7);
            CHECK(pool.choose(long_stream) == "without-streams");
        }
    }
    THEN("the decision tells what it expects")
    {
        auto const decision = pool.decide(pool.inputs(short_stream));
        REQUIRE(decision.pauses.has_value());
        CHECK(decision.pauses->pause == 73ms);
        CHECK(decision.pauses->caused == 0);
    }
    WHEN("the only engine with free memory runs streams")
    {
        fast.engine.peer_tokens = empty.engine.peer_tokens = reading.engine.peer_tokens = memory.value();
        THEN("the prompt is read there: a longer pause is better than a refusal")
        {
            CHECK(pool.choose(short_stream) == "with-streams");
        }
    }
    WHEN("the speeds of the engines are not known")
    {
        for (auto* engine : { &fast, &crowded, &empty, &reading })
            engine->pace = {};
        empty.engine.peer_tokens = 3000;
        THEN("memory and backlog decide") { CHECK(pool.choose(short_stream) == "without-streams"); }
        CHECK_FALSE(pool.decide(pool.inputs(short_stream)).pauses.has_value());
    }
}

SCENARIO("a moved stream gets a target where it keeps its pauses, if that delays no copy")
{
    SharedMachines pool;
    auto& fast = pool.add("fast", fast_pace);
    auto& slow = pool.add("slow", slow_pace);
    slow.engine.peer_unread_tokens = 100;
    SharedMachines::run_streams(fast, 2);
    CHECK(pool.choose_target() == "fast");

    WHEN("another copy is in transit to the fast engine")
    {
        fast.engine.peer_incoming_tokens = 3400;
        CHECK(pool.choose_target() == "slow");
    }
    WHEN("the fast engine is nearly full")
    {
        SharedMachines::run_streams(fast, 7);
        CHECK(pool.choose_target() == "slow");
    }
}

SCENARIO("without reports of slowness, engines are chosen as before")
{
    CHECK(rc::check("paces, streams and the demand of the stream have no influence", [] {
        SharedMachines with_speeds;
        SharedMachines without;
        auto const engines = *rc::gen::inRange(1, 12);
        for (int i = 0; i < engines; ++i) {
            auto const id = "e" + std::to_string(i);
            auto& known = with_speeds.add(id, *rc::gen::element(fast_pace, slow_pace));
            auto& unknown = without.add(id, {});
            known.engine.peer_tokens = unknown.engine.peer_tokens = *rc::gen::inRange<i64>(0, 25'000);
            known.engine.peer_unread_tokens = unknown.engine.peer_unread_tokens = *rc::gen::inRange<i64>(0, 9'000);
            known.engine.peer_streams = *rc::gen::inRange<i64>(0, 10);
        }
        auto inputs = with_speeds.inputs(long_stream);
        inputs.slowness = nullptr;
        auto inputs_before = without.inputs(long_stream);
        inputs_before.slowness = nullptr;
        inputs_before.stream.reset();
        auto const chosen = with_speeds.decide(inputs);
        auto const before = without.decide(inputs_before);
        RC_ASSERT(chosen.verdict == before.verdict);
        RC_ASSERT(!chosen.engine == !before.engine);
        if (chosen.engine)
            RC_ASSERT(chosen.engine->server.id == before.engine->server.id);
        RC_ASSERT(!chosen.pauses);
        // The same numbers have been drawn, so later choices are the same as well.
        RC_ASSERT(with_speeds.random() == without.random());
    }));
}

SCENARIO("pauses order the engines and refuse nothing")
{
    CHECK(rc::check("the same generations are admitted with and without them", [] {
        SharedMachines pool;
        auto const engines = *rc::gen::inRange(1, 12);
        for (int i = 0; i < engines; ++i) {
            auto& backend = pool.add("e" + std::to_string(i), *rc::gen::element(fast_pace, slow_pace));
            backend.engine.peer_tokens = *rc::gen::inRange<i64>(0, 30'000);
            backend.engine.peer_unread_tokens = *rc::gen::inRange<i64>(0, 12'000);
            backend.engine.peer_streams = *rc::gen::inRange<i64>(0, 10);
        }
        auto const inputs = pool.inputs(long_stream);
        auto plain = inputs;
        plain.slowness = nullptr;
        auto const with_pauses = pool.decide(inputs);
        auto const without = pool.decide(plain);
        RC_ASSERT(with_pauses.verdict == without.verdict);
        RC_ASSERT(with_pauses.with_capacity == without.with_capacity);
    }));
}

SCENARIO("a long generation counts as a stream of its engine from its dispatch to its end")
{
    SharedMachines pool;
    pool.add("e1", slow_pace);
    auto const backend = pool.table.find(EngineId("e1"));
    {
        EngineClaim const short_one(backend, 2200, 2200);
        CHECK(backend->engine.streams() == 0);
        EngineClaim long_one(backend, 3000, 3000, StreamLength::Long);
        CHECK(backend->engine.streams() == 1);
        long_one.prompt_read();
        CHECK(backend->engine.streams() == 1);
        TokenClaim const expected(backend, &EngineLoad::own_streams, 1);
        CHECK(backend->engine.streams() == 2);
    }
    CHECK(backend->engine.streams() == 0);
}
