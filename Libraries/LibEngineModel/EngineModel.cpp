/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEngineModel/EngineModel.h>
#include <algorithm>
#include <tuple>

namespace EngineModel {

void Engine::start(StartRequest const& request)
{
    Sequence sequence;
    sequence.request = request;
    sequence.arrival = this->next_arrival++;
    this->waiting.push_back(sequence);
}

bool Engine::cancel(u64 key)
{
    auto has_key = [key](Sequence const& sequence) { return sequence.request.key == key; };
    auto found = std::ranges::find_if(this->running, has_key);
    if (found != this->running.end()) {
        this->used_blocks -= found->blocks;
        this->running.erase(found);
        return true;
    }
    return std::erase_if(this->waiting, has_key) > 0;
}

i64 Engine::free_blocks() const
{
    return this->parameters.capacity_tokens / this->parameters.block_tokens - this->used_blocks - this->cached_blocks;
}

bool Engine::evict_prefixes_for(i64 blocks, std::vector<StepEvent>& events)
{
    while (this->free_blocks() < blocks && !this->cached_prefixes.empty()) {
        auto [hash, held] = this->cached_prefixes.front();
        this->cached_prefixes.pop_front();
        this->cached_blocks -= held;
        events.push_back({ StepEventKind::PrefixEvicted, hash, 0 });
    }
    return this->free_blocks() >= blocks;
}

void Engine::admit_waiting(std::vector<StepEvent>& events)
{
    // Preempted generations come first, since callers are already reading them, then by priority, then by arrival.
    std::ranges::stable_sort(this->waiting, [](Sequence const& left, Sequence const& right) {
        auto rank = [](Sequence const& sequence) {
            return std::tuple(sequence.produced == 0, -sequence.request.priority, sequence.arrival);
        };
        return rank(left) < rank(right);
    });
    while (!this->waiting.empty() && this->running.size() < this->parameters.max_batch_size) {
        auto& next = this->waiting.front();
        auto needed = this->blocks_for(next.request.prompt_tokens + next.produced + 1);
        if (!this->evict_prefixes_for(needed, events))
            return;
        auto is_cached = std::ranges::any_of(
            this->cached_prefixes, [&](auto const& entry) { return entry.first == next.request.prefix_hash; });
        next.computed = is_cached && next.request.prefix_hash != 0 ? next.request.prompt_tokens - 1 : 0;
        next.blocks = needed;
        this->used_blocks += needed;
        this->running.push_back(next);
        this->waiting.erase(this->waiting.begin());
    }
}

size_t Engine::victim_position() const
{
    auto is_better_victim = [](Sequence const& left, Sequence const& right) {
        return std::pair(left.request.priority, -static_cast<i64>(left.arrival))
            < std::pair(right.request.priority, -static_cast<i64>(right.arrival));
    };
    auto victim = std::ranges::min_element(this->running, is_better_victim);
    return static_cast<size_t>(victim - this->running.begin());
}

void Engine::preempt(size_t position, std::vector<StepEvent>& events)
{
    ++this->preemptions;
    auto victim = this->running[position];
    this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(position));
    this->used_blocks -= victim.blocks;
    victim.blocks = 0;
    victim.computed = 0;
    events.push_back({ StepEventKind::Preempted, victim.request.key, victim.produced });
    this->waiting.push_back(victim);
}

void Engine::allocate_for_running(std::vector<StepEvent>& events)
{
    for (size_t i = 0; i < this->running.size();) {
        auto needed = this->blocks_for(this->running[i].request.prompt_tokens + this->running[i].produced + 1);
        auto missing = needed - this->running[i].blocks;
        if (missing > 0 && !this->evict_prefixes_for(missing, events) && this->running.size() > 1) {
            auto victim = this->victim_position();
            this->preempt(victim, events);
            // Later positions have shifted down by one. The loop looks at the same sequence again.
            if (victim < i)
                --i;
            continue;
        }
        this->running[i].blocks += std::max<i64>(missing, 0);
        this->used_blocks += std::max<i64>(missing, 0);
        ++i;
    }
}

i64 Engine::run_prefill()
{
    auto budget = this->parameters.prefill_tokens_per_step;
    for (auto& sequence : this->running) {
        auto wanted = sequence.request.prompt_tokens + sequence.produced - sequence.computed;
        // The last token is computed by the decode itself.
        if (wanted <= 1 && sequence.produced > 0)
            continue;
        auto taken = std::min(budget, wanted);
        sequence.computed += taken;
        budget -= taken;
        if (budget == 0)
            break;
    }
    return this->parameters.prefill_tokens_per_step - budget;
}

void Engine::cache_prefix(Sequence const& sequence, std::vector<StepEvent>& events)
{
    auto hash = sequence.request.prefix_hash;
    if (hash == 0)
        return;
    auto known = std::ranges::find_if(this->cached_prefixes, [&](auto const& entry) { return entry.first == hash; });
    if (known != this->cached_prefixes.end()) {
        this->cached_prefixes.splice(this->cached_prefixes.end(), this->cached_prefixes, known);
        return;
    }
    auto blocks = this->blocks_for(sequence.request.prompt_tokens);
    if (this->free_blocks() < blocks)
        return;
    this->cached_prefixes.emplace_back(hash, blocks);
    this->cached_blocks += blocks;
    events.push_back({ StepEventKind::PrefixCached, hash, 0 });
}

void Engine::emit_tokens(std::vector<StepEvent>& events, i64& decoded)
{
    for (size_t i = 0; i < this->running.size();) {
        auto& sequence = this->running[i];
        auto is_ready = sequence.computed >= sequence.request.prompt_tokens + std::max<i64>(sequence.produced - 1, 0);
        if (!is_ready) {
            ++i;
            continue;
        }
        ++decoded;
        events.push_back({ StepEventKind::Token, sequence.request.key, sequence.produced });
        ++sequence.produced;
        sequence.computed = sequence.request.prompt_tokens + sequence.produced - 1;
        if (sequence.produced < sequence.request.output_tokens) {
            ++i;
            continue;
        }
        events.push_back({ StepEventKind::Finished, sequence.request.key, sequence.produced });
        this->used_blocks -= sequence.blocks;
        this->cache_prefix(sequence, events);
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

Duration Engine::step(std::vector<StepEvent>& events)
{
    this->allocate_for_running(events);
    // Admits nothing in a step that had to preempt, since a new generation would be the next victim.
    auto has_preempted
        = std::ranges::any_of(events, [](StepEvent const& event) { return event.kind == StepEventKind::Preempted; });
    if (!has_preempted)
        this->admit_waiting(events);
    auto held = this->used_blocks * this->parameters.block_tokens;
    auto prefilled = this->run_prefill();
    i64 decoded = 0;
    this->emit_tokens(events, decoded);
    ++this->steps;
    auto seconds = this->parameters.step_seconds + static_cast<double>(decoded) * this->parameters.seconds_per_decode
        + static_cast<double>(prefilled) * this->parameters.seconds_per_prefill_token
        + static_cast<double>(held) * this->parameters.seconds_per_held_token;
    return AK::from_seconds(seconds);
}

EngineLoad Engine::load() const
{
    return { this->used_blocks * this->parameters.block_tokens, static_cast<u32>(this->running.size()),
        static_cast<u32>(this->waiting.size()), this->steps, this->preemptions };
}

std::optional<i64> Engine::produced(u64 key) const
{
    for (auto const* list : { &this->running, &this->waiting }) {
        auto found
            = std::ranges::find_if(*list, [key](Sequence const& sequence) { return sequence.request.key == key; });
        if (found != list->end())
            return found->produced;
    }
    return std::nullopt;
}

}
