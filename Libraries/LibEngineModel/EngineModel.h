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

/// Capacity of a modelled engine and the cost of its steps.
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
    /// The engine ran out of memory and freed that of this generation, which has to be recomputed before it continues.
    Preempted,
    PrefixCached,
    PrefixEvicted,
};

struct StepEvent {
    StepEventKind kind;
    u64 key { 0 };
    /// For a token, its offset in the output. For the end and a preemption, the number of tokens produced.
    i64 offset { 0 };
};

struct EngineLoad {
    i64 used_tokens { 0 };
    u32 running { 0 };
    u32 waiting { 0 };
    u64 steps { 0 };
    u64 preemptions { 0 };
};

/// An engine with continuous batching. In each step, every running generation decodes one token, and new prompts are
/// prefilled in chunks. Memory is allocated in blocks. When no block is free, the engine preempts the running
/// generation of the lowest priority, and the youngest among equals. Only memory and steps are modelled; step() returns
/// the time that a step takes.
class Engine {
public:
    explicit Engine(EngineParameters parameters)
        : parameters(parameters)
    {
    }

    void start(StartRequest const&);
    /// Returns whether the engine had the generation.
    bool cancel(u64 key);
    [[nodiscard]] bool is_idle() const { return this->running.empty() && this->waiting.empty(); }
    /// Runs one step, appends its events to `events` and returns its duration.
    Duration step(std::vector<StepEvent>& events);
    [[nodiscard]] EngineLoad load() const;
    [[nodiscard]] EngineParameters const& settings() const { return this->parameters; }
    /// Returns the tokens produced so far by a running or waiting generation.
    [[nodiscard]] std::optional<i64> produced(u64 key) const;

private:
    struct Sequence {
        StartRequest request;
        u64 arrival { 0 };
        i64 produced { 0 };
        // Tokens that are computed. Decoding starts once the prompt and all produced tokens are.
        i64 computed { 0 };
        i64 blocks { 0 };
    };

    [[nodiscard]] i64 blocks_for(i64 tokens) const
    {
        return (tokens + this->parameters.block_tokens - 1) / this->parameters.block_tokens;
    }
    [[nodiscard]] i64 free_blocks() const;
    /// Evicts cached prefixes until `blocks` are free. Returns whether they are.
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
    // Sorted by admit_waiting(): preempted generations first, then by priority and arrival.
    std::vector<Sequence> waiting;
    // Least recently used first.
    std::list<std::pair<u64, i64>> cached_prefixes;
};

}
