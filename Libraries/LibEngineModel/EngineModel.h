/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace EngineModel {

/// What a step of a modelled engine costs, and how much it holds.
struct EngineParameters {
    i64 capacity_tokens { 24'000 };
    i64 block_tokens { 16 };
    u32 max_batch_size { 128 };
    i64 prefill_tokens_per_step { 512 };
    double step_seconds { 0.012 };
    double seconds_per_decode { 0.00025 };
    double seconds_per_prefill_token { 0.00003 };
    double seconds_per_held_token { 1e-7 };
};

struct StartRequest {
    u64 key { 0 };
    i64 prompt_tokens { 0 };
    i64 output_tokens { 0 };
    int priority { 0 };
    u64 prefix_hash { 0 };
};

enum class StepEventKind : u8 {
    Token,
    Finished,
    /// Out of memory: its memory was freed, and it will be computed again before it goes on.
    Preempted,
    PrefixCached,
    PrefixEvicted,
};

struct StepEvent {
    StepEventKind kind;
    u64 key { 0 };
    /// For a token, its offset in the output.
    i64 offset { 0 };
};

struct EngineLoad {
    i64 used_tokens { 0 };
    u32 running { 0 };
    u32 waiting { 0 };
    u64 steps { 0 };
    u64 preemptions { 0 };
};

/// A continuously batching engine: each step every running generation decodes one token, new prompts are taken in by
/// chunks, memory is held in blocks, and when a block is wanted and none is free the running generation of lowest
/// priority, and among those the youngest, is preempted. Only memory and steps are modelled; time is what step()
/// returns.
class Engine {
public:
    explicit Engine(EngineParameters parameters)
        : parameters(parameters)
    {
    }

    void start(StartRequest const&);
    /// Says whether the generation was there.
    bool cancel(u64 key);
    [[nodiscard]] bool is_idle() const { return this->running.empty() && this->waiting.empty(); }
    /// Runs one step, adds what happened to `events` and returns how long the step took.
    Duration step(std::vector<StepEvent>& events);
    [[nodiscard]] EngineLoad load() const;
    [[nodiscard]] EngineParameters const& settings() const { return this->parameters; }
    /// Tokens produced so far by a generation that runs or waits here.
    [[nodiscard]] std::optional<i64> produced(u64 key) const;

private:
    struct Sequence {
        StartRequest request;
        u64 arrival { 0 };
        i64 produced { 0 };
        // Tokens whose computation is done; decoding starts once all of prompt and produced are.
        i64 computed { 0 };
        i64 blocks { 0 };
    };

    [[nodiscard]] i64 blocks_for(i64 tokens) const
    {
        return (tokens + this->parameters.block_tokens - 1) / this->parameters.block_tokens;
    }
    [[nodiscard]] i64 free_blocks() const;
    bool evict_prefixes_for(i64 blocks, std::vector<StepEvent>& events);
    void admit_waiting(std::vector<StepEvent>& events);
    void allocate_for_running(std::vector<StepEvent>& events);
    void preempt(size_t position, std::vector<StepEvent>& events);
    [[nodiscard]] size_t victim_position() const;
    i64 run_prefill();
    void emit_tokens(std::vector<StepEvent>& events, i64& decoded);
    void cache_prefix(Sequence const&, std::vector<StepEvent>& events);

    EngineParameters parameters;
    u64 next_arrival { 0 };
    u64 steps { 0 };
    u64 preemptions { 0 };
    i64 used_blocks { 0 };
    i64 cached_blocks { 0 };
    std::vector<Sequence> running;
    // Preempted ones first, then by priority and arrival.
    std::vector<Sequence> waiting;
    // Least recently used first.
    std::list<std::pair<u64, i64>> cached_prefixes;
};

}
