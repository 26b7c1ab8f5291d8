/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/Systems.h>
#include <cmath>
#include <concepts>

namespace Scheduling {

/// Estimates the memory utilisation of an engine with one more generation on it: 0 for an empty engine, 1 for an engine
/// that is exactly full by the policy's estimate. The generation does not fit above 1.
template<typename T>
concept AdmissionPolicy = requires(T& policy, Tables& tables, EngineRow& engine, GenerationRow const& generation)
{
    {
        policy.memory_utilisation(tables, engine, generation)
        } -> std::same_as<double>;
};

/// The production policy. Keeps small the probability that memory demand exceeds the capacity at any forecast horizon,
/// assuming that nothing else is admitted. Demand is the sum over all generations of the tokens that each holds and may
/// still grow to, given the tokens that it has produced.
class ForecastAdmission {
public:
    explicit ForecastAdmission(PolicyConstants const& constants)
        : constants(constants)
    {
    }

    double memory_utilisation(Tables& tables, EngineRow& engine, GenerationRow const& generation)
    {
        forecast_demand(tables, engine);
        auto demand = engine.demand;
        add_demand(demand, tables.forecasts.curve(generation.forecast), generation, 0);
        auto usable_capacity = engine.capacity * (1 - this->constants.reserve_share);
        double highest = 0;
        for (size_t i = 0; i < forecast_horizons.size(); ++i) {
            auto needed = demand.mean[i] + tables.safety_deviations * std::sqrt(demand.variance[i]);
            highest = std::max(highest, needed / usable_capacity);
        }
        return highest;
    }

private:
    PolicyConstants const& constants;
};

/// Baseline: reserves memory for the prompt and the maximum output of the request.
class MaximumReservation {
public:
    double memory_utilisation(Tables& tables, EngineRow& engine, GenerationRow const& generation)
    {
        auto reserved = generation.prompt + generation.maximum_output;
        for (auto index : engine.generations) {
            auto const& other = tables.generations[index];
            reserved += other.prompt + other.maximum_output;
        }
        return reserved / engine.capacity;
    }
};

/// Baseline: reserves memory for the prompt and the tokens produced so far, and relies on the engine's preemption for
/// further growth.
class PromptOnlyReservation {
public:
    double memory_utilisation(Tables& tables, EngineRow& engine, GenerationRow const& generation)
    {
        auto held = generation.prompt;
        for (auto index : engine.generations)
            held += tables.generations[index].prompt + tables.generations[index].produced;
        return held / engine.capacity;
    }
};

static_assert(AdmissionPolicy<
                  ForecastAdmission> && AdmissionPolicy<MaximumReservation> && AdmissionPolicy<PromptOnlyReservation>);

}
