/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <LibScheduling/LengthForecast.h>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

/// The entities of one pool as plain rows. A pool consists of the engines of one failure domain that serve one model.
/// Only the systems in this library read and change the rows, on each tick.
namespace Scheduling {

using EngineIndex = u32;
using GenerationIndex = u32;
using OrganisationIndex = u32;

/// Weights of the three quality measures, normalised to a sum of one.
struct MeasureWeights {
    double stall { 1.0 / 3 };
    double token_gap { 1.0 / 3 };
    double preemption { 1.0 / 3 };
};

enum class GenerationState : u8 {
    Queued,
    /// Sent to an engine, without a first token yet.
    Dispatched,
    Decoding,
};

struct GenerationRow {
    GenerationId id;
    AttemptNumber attempt;
    OrganisationIndex organisation { 0 };
    LengthForecasts::Index forecast { 0 };
    GenerationState state { GenerationState::Queued };
    EngineIndex engine { 0 };
    double prompt { 0 };
    double maximum_output { 0 };
    u64 prefix_hash { 0 };
    MeasureWeights weights;
    Instant arrived;
    Instant deadline;
    /// The estimate of the wait on arrival, without the correction.
    Duration estimated_wait { 0 };
    Instant dispatched_at;
    /// Step count of the engine at the first token.
    double steps_at_first_token { 0 };
    /// Tokens it had produced when this process first recorded it.
    double produced_before { 0 };
    double produced { 0 };
    size_t bin { 0 };
    /// Memory-seconds charged to the organisation at dispatch.
    double charged { 0 };
    std::vector<EngineId> excluded_engines;
};

/// The horizons of demand forecasts, in steps from now.
static constexpr std::array<double, 10> forecast_horizons { 4, 16, 40, 88, 184, 376, 760, 1528, 3064, 6136 };

/// Expected memory demand of an engine at each horizon, in tokens.
struct DemandForecast {
    std::array<double, forecast_horizons.size()> mean {};
    std::array<double, forecast_horizons.size()> variance {};
};

struct LoadReport {
    double used_tokens { 0 };
    u32 running { 0 };
    u32 waiting { 0 };
    /// Steps since the engine started.
    double steps { 0 };
    /// Preemptions since the engine started.
    double preemptions { 0 };
    /// Age of the figures on arrival.
    Duration age { 0 };
};

struct EngineRow {
    EngineId id;
    Address address;
    double capacity { 0 };
    /// An operator or the engine itself ordered that it takes no new work.
    bool draining { false };
    /// No report arrived within the silence limit.
    bool silent { false };
    /// Reserved during one run of admission for a request that fits no engine.
    bool is_reserved { false };
    std::optional<LoadReport> report;
    Instant report_received;
    std::vector<GenerationIndex> generations;
    DemandForecast demand;
    bool demand_is_stale { true };
    /// Completed steps, extrapolated at the current step time.
    double steps { 0 };
    Instant steps_at;
    double step_seconds { 0.025 };
    /// Prompt tokens of dispatched generations without a first token yet.
    double prefill_backlog { 0 };
    /// Tokens in use by work that this process did not place, from the last report.
    double foreign_tokens { 0 };
    /// Estimated tokens in use at recent ticks, to compare with a delayed report of that time.
    std::deque<std::pair<Instant, double>> usage_history;
    std::unordered_set<u64> cached_prefixes;
};

struct OrganisationRow {
    OrganisationId id;
    double weight { 1 };
    u32 maximum_concurrency { 0 };
    double maximum_rate { 0 };
    /// Memory-seconds received by ended generations, divided by the weight.
    double virtual_time { 0 };
    /// Expected memory-seconds of its running generations.
    double outstanding { 0 };
    std::deque<GenerationIndex> queue;
    /// Expected memory-seconds of its queued generations.
    double queued_cost { 0 };
    u32 running { 0 };
    double rate_allowance { 0 };
    Instant rate_updated;
};

/// A decision of the scheduler, which the caller executes.
struct PlaceAction {
    GenerationId generation;
    AttemptNumber attempt;
    EngineId engine;
    Address address;
    int priority { 0 };
    std::string reason;
};

struct RefuseAction {
    GenerationId generation;
    AttemptNumber attempt;
    Error error;
};

using Action = std::variant<PlaceAction, RefuseAction>;

struct Tables {
    std::vector<EngineRow> engines;
    std::unordered_map<EngineId, EngineIndex> engine_of_id;
    std::vector<GenerationRow> generations;
    std::vector<GenerationIndex> free_generations;
    std::unordered_map<GenerationId, GenerationIndex> generation_of_id;
    std::vector<OrganisationRow> organisations;
    std::unordered_map<OrganisationId, OrganisationIndex> organisation_of_id;
    LengthForecasts forecasts;
    size_t queued_count { 0 };
    /// Safety margin between expected demand and memory, in standard deviations. Adapts to the observed preemptions.
    double safety_deviations { 1 };
    /// Ratio of actual waits to the waits estimated from the queues alone, smoothed.
    double wait_correction { 1.5 };
    /// When a request last had to wait for memory.
    std::optional<Instant> last_memory_shortage;
    /// When a large request last arrived.
    std::optional<Instant> last_large_request;
    std::vector<Action> actions;
};

OrganisationIndex organisation_index(Tables&, OrganisationId const&);
GenerationIndex add_generation(Tables&, GenerationRow);
void remove_generation(Tables&, GenerationIndex);
/// Returns nothing if there is no such generation.
std::optional<GenerationIndex> find_generation(Tables const&, GenerationId const&);
EngineRow* find_engine(Tables&, EngineId const&);

}
