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

/// Decides whether an engine's memory has room for one more generation, and how tight it would be: 0 for an empty
/// engine, 1 for one that is just full by the policy's reckoning, more when it does not fit.
template<typename T>
concept AdmissionPolicy = requires(T& policy, Tables& tables, EngineRow& engine, GenerationRow const& generation)
{
    {
        policy.memory_utilisation(tables, engine, generation)
        } -> std::same_as<double>;
};

/// The shipped policy: the chance that demand passes the memory at any horizon, were nothing else admitted, stays
/// small. Demand is the sum over generations of what each holds and may still grow to, given how far it has come.
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
        auto room = engine.capacity * (1 - this->constants.reserve_share);
        double tightest = 0;
        for (size_t i = 0; i < forecast_horizons.size(); ++i) {
            auto needed = demand.mean[i] + tables.safety_deviations * std::sqrt(demand.variance[i]);
            tightest = std::max(tightest, needed / room);
        }
        return tightest;
    }

private:
    PolicyConstants const& constants;
};

/// Baseline: reserves the prompt and the largest output that the request allows.
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

/// Baseline: reserves the prompt and what the output has come to, and leaves the rest to the engine's preemption.
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
