/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/Tables.h>

/// The systems that run over the tables on each tick, in the order in which they are declared.
namespace Scheduling {

/// Constants of the policy, apart from the code so that the bench can vary them. docs/POLICY.md gives the runs that
/// chose each value.
struct PolicyConstants {
    /// The margin between expected demand and memory, in standard deviations, starts here. It grows with each
    /// preemption and shrinks with each generation that finishes while others wait for memory, so that preemptions come
    /// to about the target where memory is short, and to fewer where it is not.
    double initial_safety { 0.6 };
    double min_safety { 0.5 };
    double max_safety { 2.5 };
    double target_preemptions_per_generation { 0.003 };
    double safety_gain { 0.05 };
    /// Memory counts as short for so long after something had to wait for it.
    Duration shortage_duration { 2s };
    /// Share of an engine's memory that is never planned with: partly filled blocks and steps that come in late.
    double reserve_share { 0.04 };
    /// A head of queue that does not fit lets others pass until it has waited this share of its deadline.
    double bypass_share { 0.6 };
    /// An engine from which nothing was heard for so long gets no new work.
    Duration silence_limit { 15s };
    /// Seconds to prefill one prompt token and the cost of one more generation in a batch, until measured.
    double prefill_seconds_per_token { 3e-5 };
    double batch_seconds_per_generation { 2e-4 };
    /// Requests whose expected wait is over this share of their deadline are refused on arrival.
    double refusal_share { 0.7 };
    /// So many of an organisation's foremost requests are tried; smaller ones may pass larger ones of its own.
    size_t bypass_depth { 4 };
    /// Whether one engine is then left to drain for it, instead of all.
    bool reserves_engine { true };
    /// A request is large when its prompt takes this share of an engine. While large requests come, the roomiest engine
    /// of a pool that is fuller than `spare_above` is kept for them.
    double large_share { 0.2 };
    double spare_above { 0.4 };
    Duration large_request_window { 30s };
    /// Whether queues are fair between organisations, or first come, first served.
    bool is_fair { true };
    /// Whether a request whose forecast wait passes its deadline is refused on arrival.
    bool refuses_by_forecast { true };
};

/// Extrapolates the steps of each engine, and with them the tokens of each generation on it.
void advance_progress(Tables&, Instant now);

/// Marks engines from which nothing was heard for too long, and those that came back.
void expire_engines(Tables&, PolicyConstants const&, Instant now);

/// Moves the safety margin with what was seen since the last report.
void adjust_safety(Tables&, PolicyConstants const&, double preemptions, double finished, Instant now);

/// Refuses what has waited past its deadline.
void expire_queue(Tables&, Instant now);

/// Recomputes the demand of one engine from its generations, if anything changed.
void forecast_demand(Tables&, EngineRow&);

/// Adds one generation's demand, at `produced` tokens, to `demand`.
void add_demand(DemandForecast& demand, SurvivalCurve const&, GenerationRow const&, double produced);

/// What the policy expects one generation to cost: tokens held times seconds held.
double expected_cost(Tables const&, GenerationRow const&, double step_seconds);

/// The mean cadence of the engines that take work, in seconds a step.
double mean_step_seconds(Tables const&);

/// What an organisation has had and is having, per weight: who has least comes first.
double normalised_service(OrganisationRow const&);

/// How long a new request of `organisation` would wait by the queues and their shares alone.
Duration estimated_wait(Tables const&, OrganisationIndex organisation, double own_cost);

/// Learns from a request that has waited until `now`, placed or given up, how far the reckoning of waits is off.
void update_wait_correction(Tables&, GenerationRow const&, Instant now);

/// Takes a generation off its queue.
void dequeue(Tables&, GenerationIndex);

/// Refuses a queued generation, at once, and forgets it.
void refuse(Tables&, GenerationIndex, Error error);

/// When to come back: the time until the queues ahead have drained, within reason.
Duration retry_after(Duration expected_wait);

/// The reckoned wait, corrected by what waits have been.
Duration corrected_wait(Tables const&, Duration reckoned);

/// Whether an engine takes work now, or will as soon as it has been heard of.
bool may_soon_accept_work(EngineRow const&);

/// Whether work may be placed on an engine now.
bool accepts_new_work(EngineRow const&);

}
