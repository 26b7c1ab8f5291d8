/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEngineModel/EngineModel.h>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using EngineModel::Engine;
using EngineModel::StepEvent;
using EngineModel::StepEventKind;

static EngineModel::EngineParameters small_engine()
{
    EngineModel::EngineParameters parameters;
    parameters.capacity_tokens = 320;
    return parameters;
}

SCENARIO("when growing outputs fill the memory, the lowest priority is preempted")
{
    Engine engine(small_engine());
    engine.start({ .key = 1, .prompt_tokens = 100, .output_tokens = 150, .priority = 5 });
    engine.start({ .key = 2, .prompt_tokens = 100, .output_tokens = 150, .priority = 1 });
    std::vector<StepEvent> events;
    std::map<u64, i64> finished;
    std::vector<u64> preempted;
    while (!engine.is_idle()) {
        events.clear();
        (void)engine.step(events);
        for (auto const& event : events) {
            if (event.kind == StepEventKind::Finished)
                finished[event.key] = event.offset;
            if (event.kind == StepEventKind::Preempted)
                preempted.push_back(event.key);
        }
    }
    CHECK(finished == std::map<u64, i64> { { 1, 150 }, { 2, 150 } });
    CHECK(preempted == std::vector<u64> { 2 });
    CHECK(engine.load().preemptions == 1);
    CHECK(engine.load().used_tokens == 0);
}

TEST_CASE("each generation emits its tokens once and in order, within the memory", "[property]")
{
    rc::prop("engine", [] {
        Engine engine(small_engine());
        std::map<u64, i64> wanted;
        std::map<u64, i64> seen;
        u64 next_key = 1;
        std::vector<StepEvent> events;
        auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps || !engine.is_idle(); ++i) {
            if (i < steps && *rc::gen::inRange(0, 6) == 0) {
                EngineModel::StartRequest request { next_key++, *rc::gen::inRange<i64>(1, 150),
                    *rc::gen::inRange<i64>(1, 100), *rc::gen::inRange(0, 3), *rc::gen::inRange<u64>(0, 3) };
                wanted[request.key] = request.output_tokens;
                engine.start(request);
            }
            if (i < steps && !wanted.empty() && *rc::gen::inRange(0, 20) == 0) {
                auto key = *rc::gen::inRange<u64>(1, next_key);
                if (engine.cancel(key))
                    wanted.erase(key);
            }
            events.clear();
            (void)engine.step(events);
            RC_ASSERT(engine.load().used_tokens <= small_engine().capacity_tokens);
            for (auto const& event : events) {
                if (event.kind == StepEventKind::Token)
                    RC_ASSERT(event.offset == seen[event.key]++);
            }
            RC_ASSERT(i < 100'000);
        }
        for (auto const& [key, length] : wanted)
            RC_ASSERT(seen[key] == length);
    });
}
