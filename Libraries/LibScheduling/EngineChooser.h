/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/Admission.h>
#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Scheduling {

/// Chooses the engine for a generation: the engine with enough free memory whose placement cost is lowest by the
/// weights of the route.
template<AdmissionPolicy Admission>
class EngineChooser {
public:
    EngineChooser(Admission admission, PolicyConstants const& constants, Tables& tables)
        : admission(std::move(admission))
        , constants(constants)
        , tables(tables)
    {
    }

    /// Returns nothing if no engine has the capacity. `reason` is an explanation for the operators.
    [[nodiscard]] std::optional<EngineIndex> choose(GenerationRow const&, std::string& reason);
    /// Reserves the eligible engine with the lowest memory utilisation until drop_reservations(). It accepts nothing
    /// else, so that it frees memory for this request.
    void reserve_for(GenerationRow const&);
    void drop_reservations()
    {
        for (auto& engine : this->tables.engines)
            engine.is_reserved = false;
    }

private:
    struct Candidate {
        EngineIndex engine;
        double memory_utilisation;
    };

    [[nodiscard]] bool is_eligible(EngineRow const&, GenerationRow const&) const;
    [[nodiscard]] std::vector<Candidate> engines_with_capacity(GenerationRow const&);
    /// Removes the least loaded engine of a busy pool from the candidates of a small request, to keep it for large
    /// ones.
    void spare_least_loaded(std::vector<Candidate>&, GenerationRow const&) const;
    [[nodiscard]] double placement_cost(EngineRow const&, GenerationRow const&, double memory_utilisation) const;

    Admission admission;
    PolicyConstants const& constants;
    Tables& tables;
};

template<AdmissionPolicy Admission>
double EngineChooser<Admission>::placement_cost(
    EngineRow const& engine, GenerationRow const& generation, double memory_utilisation) const
{
    auto is_cached = generation.prefix_hash != 0 && engine.cached_prefixes.contains(generation.prefix_hash);
    auto own_prefill = is_cached ? 0 : generation.prompt;
    auto stall = (engine.prefill_backlog + own_prefill) * this->constants.prefill_seconds_per_token;
    auto gap = static_cast<double>(engine.generations.size()) * this->constants.batch_seconds_per_generation;
    // Memory utilisation has no unit. It is scaled so that a full engine costs as much as a stall of this many seconds.
    constexpr double seconds_when_full = 0.05;
    return generation.weights.stall * stall + generation.weights.token_gap * gap
        + generation.weights.preemption * memory_utilisation * seconds_when_full;
}

template<AdmissionPolicy Admission>
bool EngineChooser<Admission>::is_eligible(EngineRow const& engine, GenerationRow const& generation) const
{
    auto const& excluded = generation.excluded_engines;
    return accepts_new_work(engine) && !engine.is_reserved && std::ranges::find(excluded, engine.id) == excluded.end();
}

template<AdmissionPolicy Admission>
void EngineChooser<Admission>::reserve_for(GenerationRow const& generation)
{
    EngineRow* best = nullptr;
    auto lowest = std::numeric_limits<double>::infinity();
    for (auto& engine : this->tables.engines) {
        if (!this->is_eligible(engine, generation))
            continue;
        auto memory_utilisation = this->admission.memory_utilisation(this->tables, engine, generation);
        if (memory_utilisation < lowest) {
            best = &engine;
            lowest = memory_utilisation;
        }
    }
    if (best)
        best->is_reserved = true;
}

template<AdmissionPolicy Admission>
std::vector<typename EngineChooser<Admission>::Candidate> EngineChooser<Admission>::engines_with_capacity(
    GenerationRow const& generation)
{
    std::vector<Candidate> candidates;
    for (EngineIndex i = 0; i < this->tables.engines.size(); ++i) {
        auto& engine = this->tables.engines[i];
        if (!this->is_eligible(engine, generation))
            continue;
        auto memory_utilisation = this->admission.memory_utilisation(this->tables, engine, generation);
        // An empty engine accepts any generation, since waiting cannot free more memory there.
        if (memory_utilisation <= 1 || engine.generations.empty())
            candidates.push_back({ i, memory_utilisation });
    }
    return candidates;
}

template<AdmissionPolicy Admission>
void EngineChooser<Admission>::spare_least_loaded(
    std::vector<Candidate>& candidates, GenerationRow const& generation) const
{
    if (candidates.size() < 2)
        return;
    auto least_loaded = std::ranges::min_element(candidates, {}, &Candidate::memory_utilisation);
    auto const& engine = this->tables.engines[least_loaded->engine];
    auto is_small = generation.prompt < engine.capacity * this->constants.large_share;
    if (is_small && this->tables.last_large_request && least_loaded->memory_utilisation > this->constants.spare_above)
        candidates.erase(least_loaded);
}

template<AdmissionPolicy Admission>
std::optional<EngineIndex> EngineChooser<Admission>::choose(GenerationRow const& generation, std::string& reason)
{
    auto candidates = this->engines_with_capacity(generation);
    this->spare_least_loaded(candidates, generation);
    if (candidates.empty())
        return std::nullopt;
    auto best = std::ranges::min_element(candidates, {}, [&](Candidate const& candidate) {
        return this->placement_cost(this->tables.engines[candidate.engine], generation, candidate.memory_utilisation);
    });
    reason = "memory " + std::to_string(static_cast<int>(best->memory_utilisation * 100)) + "% of the safe limit";
    return best->engine;
}

}
