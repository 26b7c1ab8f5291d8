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

/// A running generation, as its gateway reports it to a new owner of the pool.
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
    /// Cancelled or failed, so its full length is unknown.
    Censored,
    /// Rejected by the engine; it never ran.
    NotStarted,
};

/// Maintains the tables of one pool: applies reports and requests to its engines, generations and organisations.
/// PoolScheduler decides admission on the same tables.
class PoolState {
public:
    PoolState(PoolState const&) = delete;
    PoolState& operator=(PoolState const&) = delete;

    void put_engine(EngineId const& id, Address const& address, double capacity, Instant now);
    /// Removes an engine with its generations. Their gateways report how they ended.
    void remove_engine(EngineId const& id);
    void set_draining(EngineId const& id, bool draining);

    void submit(SubmitRequest const&, Instant now);
    /// Records that the first token of a generation has reached its gateway.
    void first_token(GenerationId const&, Instant now);
    void finished(GenerationId const&, AttemptNumber, EndReason, TokenCount output, Instant now);
    void load_report(EngineId const&, LoadReport const&, Instant now);
    /// Assumes that all engines are available until their next reports arrive. For a pool whose engines have not been
    /// polled for a while.
    void expect_reports(Instant now);
    void prefix_cached(EngineId const&, u64 prefix_hash, bool is_present);
    /// Clears the known prefixes of an engine after events of its cache were lost.
    void clear_cached_prefixes(EngineId const&);
    void rebuild(RunningGeneration const&, Instant now);

    [[nodiscard]] bool knows(GenerationId const&) const;
    [[nodiscard]] bool is_queued(GenerationId const&) const;
    /// Returns the generations that were placed on the engine before `placed_before` and that its list does not
    /// contain.
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

    /// Returns the organisation to serve next, of those with a queue that are not skipped.
    [[nodiscard]] std::optional<OrganisationIndex> next_organisation(std::vector<bool> const& skipped) const;
    /// Whether a request has waited so long that others may no longer bypass it.
    [[nodiscard]] bool has_waited_long(GenerationRow const&, Instant now) const;
    /// Assigns a queued generation to an engine and adds the action.
    void place(GenerationIndex, EngineIndex, std::string reason, Instant now);

    PolicyConstants const& constants;
    Tables tables;

private:
    [[nodiscard]] bool is_over_limits(SubmitRequest const&, OrganisationRow&, Instant now);
    void refuse_new(SubmitRequest const&, Error);
    /// Whether a prompt takes at least the large share of an engine.
    [[nodiscard]] bool is_large(double prompt) const;
    /// Handles a request for a known generation. Returns false if it is a newer attempt, which is submitted anew.
    [[nodiscard]] bool handle_duplicate(SubmitRequest const&, GenerationIndex known);
    void enqueue(GenerationIndex);
    [[nodiscard]] int priority_of(GenerationRow const&) const;
    void detach_from_engine(GenerationIndex);
    void settle_charge(GenerationRow const&, double actual_cost);
    void raise_virtual_time(OrganisationRow&);
};

}
