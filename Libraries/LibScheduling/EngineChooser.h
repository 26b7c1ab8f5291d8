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

/// Chooses the engine for a generation: among those with room, the one where it and the others there fare best by the
/// route's weights.
template<AdmissionPolicy Admission>
class EngineChooser {
public:
    EngineChooser(Admission admission, PolicyConstants const& constants, Tables& tables)
        : admission(std::move(admission))
        , constants(constants)
        , tables(tables)
    {
    }

    /// Nothing when no engine has room. `reason` is for the operators.
    [[nodiscard]] std::optional<EngineIndex> choose(GenerationRow const&, std::string& reason);
    /// Lets the engine that will soonest have room for a request drain for it, until drop_reservations().
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
    /// Keeps the roomiest engine of a loaded pool for requests that need much room at once.
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
    // Tightness has no unit; scaled so that a full engine weighs like a stall of this many seconds.
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
    auto least = std::numeric_limits<double>::infinity();
    for (auto& engine : this->tables.engines) {
        if (!this->is_eligible(engine, generation))
            continue;
        auto memory_utilisation = this->admission.memory_utilisation(this->tables, engine, generation);
        if (memory_utilisation < least) {
            best = &engine;
            least = memory_utilisation;
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
        // An empty engine takes what it is given: nothing will make more room there.
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
    auto roomiest = std::ranges::min_element(candidates, {}, &Candidate::memory_utilisation);
    auto const& engine = this->tables.engines[roomiest->engine];
    auto is_small = generation.prompt < engine.capacity * this->constants.large_share;
    if (is_small && this->tables.last_large_request && roomiest->memory_utilisation > this->constants.spare_above)
        candidates.erase(roomiest);
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
