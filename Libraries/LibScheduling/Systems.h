/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/Tables.h>

/// The systems that process the tables on each tick, in the order of their declaration.
namespace Scheduling {

/// Constants of the policy, kept apart from the code so that the bench can vary them. docs/POLICY.md has the runs
/// behind each value.
struct PolicyConstants {
    /// Initial margin between expected demand and memory, in standard deviations. The margin grows with each preemption
    /// and shrinks with each generation that finishes while others wait for memory, so that preemptions settle at about
    /// the target rate while memory is short, and below it otherwise.
    double initial_safety { 0.6 };
    double min_safety { 0.5 };
    double max_safety { 2.5 };
    double target_preemptions_per_generation { 0.003 };
    double safety_gain { 0.05 };
    /// How long memory counts as short after a request had to wait for it.
    Duration shortage_duration { 2s };
    /// Share of an engine's memory that stays unplanned, for partly filled blocks and steps that are reported late.
    double reserve_share { 0.04 };
    /// Other requests may bypass a queue head that does not fit until it has waited for this share of its deadline.
    double bypass_share { 0.6 };
    /// An engine without a report for this long gets no new work.
    Duration silence_limit { 15s };
    /// Estimated seconds to prefill one prompt token, and seconds that one more generation adds to a step.
    double prefill_seconds_per_token { 3e-5 };
    double batch_seconds_per_generation { 2e-4 };
    /// Requests whose expected wait exceeds this share of their deadline are refused on arrival.
    double refusal_share { 0.7 };
    /// Number of requests at the head of an organisation's queue that are considered, so that small ones may bypass
    /// large ones of the same organisation.
    size_t bypass_depth { 4 };
    /// Whether one engine is reserved for a request that has waited for `bypass_share` of its deadline. Otherwise
    /// admission stops on all engines.
    bool reserves_engine { true };
    /// A request is large if its prompt takes this share of an engine. While large requests arrive, the least loaded
    /// engine is kept for them if its memory utilisation exceeds `spare_above`.
    double large_share { 0.2 };
    double spare_above { 0.4 };
    Duration large_request_window { 30s };
    /// Whether queues are fair between organisations. Otherwise they are first come, first served.
    bool is_fair { true };
    /// Whether a request is refused on arrival by its forecast wait (see refusal_share).
    bool refuses_by_forecast { true };
};

/// Extrapolates the steps of each engine and from these the tokens of each generation on it.
void advance_progress(Tables&, Instant now);

/// Marks each engine as silent or not by the time of its last report.
void expire_engines(Tables&, PolicyConstants const&, Instant now);

/// Adjusts the safety margin by the number of new preemptions and of newly finished generations.
void adjust_safety(Tables&, PolicyConstants const&, double preemptions, double finished, Instant now);

/// Refuses queued generations whose deadline has passed.
void expire_queue(Tables&, Instant now);

/// Recomputes the demand of one engine from its generations if it is stale.
void forecast_demand(Tables&, EngineRow&);

/// Adds to `demand` the demand of one generation that has produced `produced` tokens.
void add_demand(DemandForecast& demand, SurvivalCurve const&, GenerationRow const&, double produced);

/// Expected cost of one generation: tokens held times seconds held.
double expected_cost(Tables const&, GenerationRow const&, double step_seconds);

/// Mean step time of the engines that accept work, in seconds.
double mean_step_seconds(Tables const&);

/// Service that an organisation has received and is receiving, divided by its weight. The lowest value is served next.
double normalised_service(OrganisationRow const&);

/// Estimates the wait of a new request of `organisation` from the queues and their fair shares alone.
Duration estimated_wait(Tables const&, OrganisationIndex organisation, double own_cost);

/// Updates the correction of estimated waits from a request that waited until `now`, when it was placed or expired.
void update_wait_correction(Tables&, GenerationRow const&, Instant now);

/// Removes a generation from its queue.
void dequeue(Tables&, GenerationIndex);

/// Refuses a generation and removes it.
void refuse(Tables&, GenerationIndex, Error error);

/// The time after which a refused caller should retry: the expected wait, clamped to sensible limits.
Duration retry_after(Duration expected_wait);

/// The estimated wait, corrected by the ratio of past waits to their estimates.
Duration corrected_wait(Tables const&, Duration estimated);

/// Whether an engine accepts work now or will after its next report.
bool may_soon_accept_work(EngineRow const&);

/// Whether new work may be placed on an engine now.
bool accepts_new_work(EngineRow const&);

}
