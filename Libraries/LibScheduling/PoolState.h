/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/Systems.h>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Scheduling {

struct SubmitRequest {
    GenerationId generation;
    AttemptNumber attempt;
    ForecastKey forecast_key;
    double organisation_weight { 1 };
    u32 maximum_concurrency { 0 };
    double maximum_rate { 0 };
    TokenCount prompt;
    TokenCount maximum_output;
    u64 prefix_hash { 0 };
    MeasureWeights weights;
    Duration deadline { 10s };
    std::vector<EngineId> excluded_engines;
};

/// A generation that runs already, as told by its gateway to a new owner of the pool.
struct RunningGeneration {
    GenerationId generation;
    AttemptNumber attempt;
    ForecastKey forecast_key;
    TokenCount prompt;
    TokenCount produced;
    TokenCount maximum_output;
    EngineId engine;
};

enum class EndReason : u8 {
    Completed,
    /// Cancelled or failed: how long it would have become is not known.
    Censored,
    /// The engine turned it away: it never ran.
    NotStarted,
};

/// What one pool has heard and done: engines, generations and organisations as they come, change and go. Admission is
/// not decided here; PoolScheduler does that on the same tables.
class PoolState {
public:
    PoolState(PoolState const&) = delete;
    PoolState& operator=(PoolState const&) = delete;

    void put_engine(EngineId const& id, Address const& address, double capacity, Instant now);
    /// Forgets an engine. Its generations are counted no more; their gateways report what became of them.
    void remove_engine(EngineId const& id);
    void set_draining(EngineId const& id, bool draining);

    void submit(SubmitRequest const&, Instant now);
    /// The first token of `generation` has reached its gateway.
    void first_token(GenerationId const&, Instant now);
    void finished(GenerationId const&, AttemptNumber, EndReason, TokenCount output, Instant now);
    void load_report(EngineId const&, LoadReport const&, Instant now);
    /// Takes it that the engines are there until the reports that are being asked for say more: for a pool of which no
    /// reports were asked for a while.
    void expect_reports(Instant now);
    void prefix_cached(EngineId const&, u64 prefix_hash, bool is_present);
    /// Forgets what is believed of an engine's prefix cache, because events of it were lost.
    void clear_cached_prefixes(EngineId const&);
    void rebuild(RunningGeneration const&, Instant now);

    [[nodiscard]] bool knows(GenerationId const&) const;
    [[nodiscard]] bool is_queued(GenerationId const&) const;
    /// Generations believed to be on the engine since before `placed_before` that it does not list.
    [[nodiscard]] std::vector<std::pair<GenerationId, AttemptNumber>> find_unlisted_generations(
        EngineId const&, std::set<GenerationId> const& listed, Instant placed_before) const;

    [[nodiscard]] Tables const& view() const { return this->tables; }

protected:
    explicit PoolState(PolicyConstants const& constants)
        : constants(constants)
    {
        this->tables.safety_deviations = constants.initial_safety;
    }
    ~PoolState() = default;

    /// Whose turn it is among the organisations with a queue that were not passed over.
    [[nodiscard]] std::optional<OrganisationIndex> next_organisation(std::vector<bool> const& skipped) const;
    /// Whether a request has waited so long that others may no longer pass it.
    [[nodiscard]] bool has_waited_long(GenerationRow const&, Instant now) const;
    /// Books a queued generation onto an engine and adds the action.
    void place(GenerationIndex, EngineIndex, std::string reason, Instant now);

    PolicyConstants const& constants;
    Tables tables;

private:
    [[nodiscard]] bool is_over_limits(SubmitRequest const&, OrganisationRow&, Instant now);
    void refuse_new(SubmitRequest const&, Error);
    /// Whether a prompt takes much of an engine at once.
    [[nodiscard]] bool is_large(double prompt) const;
    /// Whether a request for a generation already known needs nothing more than perhaps the same answer again.
    [[nodiscard]] bool handle_duplicate(SubmitRequest const&, GenerationIndex known);
    void enqueue(GenerationIndex);
    [[nodiscard]] int priority_of(GenerationRow const&) const;
    void detach_from_engine(GenerationIndex);
    void settle_charge(GenerationRow const&, double actual_cost);
    void raise_virtual_time(OrganisationRow&);
};

}
