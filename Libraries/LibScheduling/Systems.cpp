/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibScheduling/Systems.h>
#include <algorithm>
#include <numeric>

namespace Scheduling {

static constexpr Duration min_retry_after = 1s;
static constexpr Duration max_retry_after = 60s;
// Memory is never full on average, since prompts do not fit exactly and a safety margin stays free.
static constexpr double usable_memory_share = 0.8;

bool may_soon_accept_work(EngineRow const& engine) { return !engine.draining && !engine.silent; }

bool accepts_new_work(EngineRow const& engine)
{
    // Before the first report, work that other processes placed on the engine is unknown.
    return may_soon_accept_work(engine) && engine.report;
}

static void advance_generation(Tables& tables, GenerationRow& generation, double engine_steps)
{
    if (generation.state != GenerationState::Decoding)
        return;
    auto produced = generation.produced_before + engine_steps - generation.steps_at_first_token;
    // A generation cannot exceed its maximum. If the extrapolation does, it is about to finish.
    generation.produced = std::clamp(produced, generation.produced, std::max(generation.maximum_output - 1, 1.0));
    auto bin = LengthBins::index(generation.produced);
    if (bin > generation.bin) {
        tables.forecasts.advance(generation.forecast, generation.bin, bin);
        generation.bin = bin;
    }
}

void advance_progress(Tables& tables, Instant now)
{
    for (auto& engine : tables.engines) {
        engine.steps += AK::to_seconds(now - engine.steps_at) / engine.step_seconds;
        engine.steps_at = now;
        for (auto index : engine.generations)
            advance_generation(tables, tables.generations[index], engine.steps);
        engine.demand_is_stale = true;
    }
    tables.forecasts.refresh();
}

void expire_engines(Tables& tables, PolicyConstants const& constants, Instant now)
{
    for (auto& engine : tables.engines)
        engine.silent = now - engine.report_received > constants.silence_limit;
}

void adjust_safety(Tables& tables, PolicyConstants const& constants, double preemptions, double finished, Instant now)
{
    auto change = preemptions;
    if (tables.last_memory_shortage && now - *tables.last_memory_shortage < constants.shortage_duration)
        change -= finished * constants.target_preemptions_per_generation;
    tables.safety_deviations = std::clamp(
        tables.safety_deviations + constants.safety_gain * change, constants.min_safety, constants.max_safety);
}

Duration corrected_wait(Tables const& tables, Duration estimated)
{
    return AK::from_seconds(AK::to_seconds(estimated) * tables.wait_correction);
}

void update_wait_correction(Tables& tables, GenerationRow const& generation, Instant now)
{
    constexpr Duration min_meaningful_wait = 100ms;
    constexpr double learning_rate = 0.02;
    constexpr double min_correction = 0.5;
    constexpr double max_correction = 10;
    if (generation.estimated_wait < min_meaningful_wait)
        return;
    auto ratio = AK::to_seconds(now - generation.arrived) / AK::to_seconds(generation.estimated_wait);
    auto updated = tables.wait_correction + learning_rate * (std::min(ratio, max_correction) - tables.wait_correction);
    tables.wait_correction = std::max(updated, min_correction);
}

void dequeue(Tables& tables, GenerationIndex index)
{
    auto& generation = tables.generations[index];
    auto& organisation = tables.organisations[generation.organisation];
    auto position = std::ranges::find(organisation.queue, index);
    VERIFY(position != organisation.queue.end());
    organisation.queue.erase(position);
    organisation.queued_cost -= generation.charged;
    if (organisation.queue.empty())
        organisation.queued_cost = 0;
    --tables.queued_count;
}

void refuse(Tables& tables, GenerationIndex index, Error error)
{
    auto const& generation = tables.generations[index];
    tables.actions.push_back(RefuseAction { generation.id, generation.attempt, std::move(error) });
    remove_generation(tables, index);
}

Duration retry_after(Duration expected_wait) { return std::clamp(expected_wait, min_retry_after, max_retry_after); }

void expire_queue(Tables& tables, Instant now)
{
    std::vector<GenerationIndex> expired;
    for (auto const& organisation : tables.organisations) {
        for (auto index : organisation.queue) {
            if (tables.generations[index].deadline <= now)
                expired.push_back(index);
        }
    }
    for (auto index : expired) {
        auto organisation = tables.generations[index].organisation;
        update_wait_correction(tables, tables.generations[index], now);
        dequeue(tables, index);
        auto wait = corrected_wait(tables, estimated_wait(tables, organisation, 0));
        refuse(tables, index,
            { ErrorKind::DeadlineUnreachable,
                "no engine had room before the deadline; come back after the time given, or allow a later deadline",
                retry_after(wait) });
    }
}

void add_demand(DemandForecast& demand, SurvivalCurve const& curve, GenerationRow const& generation, double produced)
{
    for (size_t i = 0; i < forecast_horizons.size(); ++i) {
        auto reached = produced + forecast_horizons[i];
        if (reached > generation.maximum_output)
            break;
        auto alive = curve.survival(produced, forecast_horizons[i]);
        auto size = generation.prompt + reached;
        demand.mean[i] += alive * size;
        demand.variance[i] += alive * (1 - alive) * size * size;
    }
}

void forecast_demand(Tables& tables, EngineRow& engine)
{
    if (!engine.demand_is_stale)
        return;
    engine.demand = {};
    for (auto index : engine.generations) {
        auto const& generation = tables.generations[index];
        add_demand(engine.demand, tables.forecasts.curve(generation.forecast), generation, generation.produced);
    }
    for (auto& mean : engine.demand.mean)
        mean += engine.foreign_tokens;
    engine.demand_is_stale = false;
}

double expected_cost(Tables const& tables, GenerationRow const& generation, double step_seconds)
{
    auto length = tables.forecasts.curve(generation.forecast).expected_remaining(0);
    length = std::min(length, generation.maximum_output);
    return (generation.prompt + length / 2) * (length + 1) * step_seconds;
}

double mean_step_seconds(Tables const& tables)
{
    double sum = 0;
    double count = 0;
    for (auto const& engine : tables.engines) {
        if (!accepts_new_work(engine))
            continue;
        sum += engine.step_seconds;
        ++count;
    }
    return count > 0 ? sum / count : EngineRow().step_seconds;
}

double normalised_service(OrganisationRow const& organisation)
{
    return organisation.virtual_time + organisation.outstanding / organisation.weight;
}

Duration estimated_wait(Tables const& tables, OrganisationIndex organisation, double own_cost)
{
    double capacity = 0;
    for (auto const& engine : tables.engines) {
        if (may_soon_accept_work(engine))
            capacity += engine.capacity * usable_memory_share;
    }
    if (capacity <= 0)
        return max_retry_after;
    auto const& own = tables.organisations[organisation];
    auto own_service = normalised_service(own) + (own.queued_cost + own_cost) / own.weight;
    auto ahead = own.queued_cost;
    for (auto const& other : tables.organisations) {
        if (&other == &own || other.queue.empty())
            continue;
        // The service that the other may receive before its virtual time exceeds that at which this request is next.
        auto served_before = std::max(own_service - normalised_service(other), 0.0) * other.weight;
        ahead += std::min(other.queued_cost, served_before);
    }
    return AK::from_seconds(ahead / capacity);
}

}
