/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibScheduling/PoolState.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Scheduling {

void PoolState::put_engine(EngineId const& id, Address const& address, double capacity, Instant now)
{
    if (auto* known = find_engine(this->tables, id)) {
        known->address = address;
        known->capacity = capacity;
        return;
    }
    this->tables.engine_of_id[id] = static_cast<EngineIndex>(this->tables.engines.size());
    EngineRow row;
    row.id = id;
    row.address = address;
    row.capacity = capacity;
    row.report_received = now;
    row.steps_at = now;
    this->tables.engines.push_back(std::move(row));
}

void PoolState::remove_engine(EngineId const& id)
{
    auto found = this->tables.engine_of_id.find(id);
    if (found == this->tables.engine_of_id.end())
        return;
    auto index = found->second;
    auto running = this->tables.engines[index].generations;
    for (auto generation : running) {
        detach_from_engine(generation);
        remove_generation(this->tables, generation);
    }
    // Moves the last row into the place of the removed one.
    auto last = static_cast<EngineIndex>(this->tables.engines.size() - 1);
    this->tables.engine_of_id.erase(found);
    if (index != last) {
        this->tables.engines[index] = std::move(this->tables.engines[last]);
        this->tables.engine_of_id[this->tables.engines[index].id] = index;
        for (auto generation : this->tables.engines[index].generations)
            this->tables.generations[generation].engine = index;
    }
    this->tables.engines.pop_back();
}

void PoolState::set_draining(EngineId const& id, bool draining)
{
    if (auto* engine = find_engine(this->tables, id))
        engine->draining = draining;
}

bool PoolState::is_over_limits(SubmitRequest const& request, OrganisationRow& organisation, Instant now)
{
    if (request.maximum_concurrency > 0
        && organisation.running + organisation.queue.size() >= request.maximum_concurrency)
        return true;
    if (request.maximum_rate <= 0)
        return false;
    // A token bucket with a capacity of one second's worth of requests, but at least one.
    auto burst = std::max(request.maximum_rate, 1.0);
    auto refill = AK::to_seconds(now - organisation.rate_updated) * request.maximum_rate;
    organisation.rate_allowance = std::min(burst, organisation.rate_allowance + refill);
    organisation.rate_updated = now;
    if (organisation.rate_allowance < 1)
        return true;
    organisation.rate_allowance -= 1;
    return false;
}

void PoolState::refuse_new(SubmitRequest const& request, Error error)
{
    this->tables.actions.push_back(RefuseAction { request.generation, request.attempt, std::move(error) });
}

bool PoolState::is_large(double prompt) const
{
    return std::ranges::any_of(this->tables.engines,
        [&](EngineRow const& engine) { return prompt >= engine.capacity * this->constants.large_share; });
}

void PoolState::raise_virtual_time(OrganisationRow& organisation)
{
    // An idle organisation must not accumulate credit: it starts at the lowest virtual time of the active ones.
    if (!organisation.queue.empty() || organisation.running > 0)
        return;
    auto lowest = std::numeric_limits<double>::infinity();
    for (auto const& other : this->tables.organisations) {
        if (&other != &organisation && (!other.queue.empty() || other.running > 0))
            lowest = std::min(lowest, other.virtual_time);
    }
    if (std::isfinite(lowest))
        organisation.virtual_time = std::max(organisation.virtual_time, lowest);
}

bool PoolState::handle_duplicate(SubmitRequest const& request, GenerationIndex known)
{
    auto const& generation = this->tables.generations[known];
    if (request.attempt > generation.attempt)
        return false;
    // The response to this attempt may have been lost, so it is sent again. An older attempt needs no response.
    if (request.attempt == generation.attempt && generation.state == GenerationState::Dispatched) {
        auto const& engine = this->tables.engines[generation.engine];
        this->tables.actions.push_back(PlaceAction { generation.id, generation.attempt, engine.id, engine.address,
            this->priority_of(generation), "repeated answer" });
    }
    return true;
}

void PoolState::submit(SubmitRequest const& request, Instant now)
{
    if (auto known = find_generation(this->tables, request.generation)) {
        if (this->handle_duplicate(request, *known))
            return;
        this->finished(
            request.generation, this->tables.generations[*known].attempt, EndReason::NotStarted, TokenCount(0), now);
    }
    auto organisation_position = organisation_index(this->tables, request.forecast_key.organisation);
    auto& organisation = this->tables.organisations[organisation_position];
    organisation.weight = request.organisation_weight > 0 ? request.organisation_weight : 1;
    if (std::ranges::none_of(this->tables.engines, may_soon_accept_work)) {
        this->refuse_new(request,
            { ErrorKind::NoBackendServer, "no engine of this model takes work here; come back after the time given",
                2s });
        return;
    }
    if (this->is_over_limits(request, organisation, now)) {
        this->refuse_new(request,
            { ErrorKind::OverLimit, "the organisation is at its limit of requests here; come back after the time given",
                1s });
        return;
    }
    this->raise_virtual_time(organisation);
    if (this->is_large(static_cast<double>(request.prompt.value())))
        this->tables.last_large_request = now;

    GenerationRow row;
    row.id = request.generation;
    row.attempt = request.attempt;
    row.organisation = organisation_position;
    row.forecast = this->tables.forecasts.index_of(request.forecast_key);
    row.prompt = static_cast<double>(request.prompt.value());
    row.maximum_output = static_cast<double>(request.maximum_output.value());
    row.prefix_hash = request.prefix_hash;
    row.weights = request.weights;
    row.arrived = now;
    row.deadline = now + request.deadline;
    row.excluded_engines = request.excluded_engines;
    row.charged = expected_cost(this->tables, row, mean_step_seconds(this->tables));

    row.estimated_wait = estimated_wait(this->tables, organisation_position, row.charged);
    auto wait = corrected_wait(this->tables, row.estimated_wait);
    auto max_wait = AK::from_seconds(AK::to_seconds(request.deadline) * this->constants.refusal_share);
    if (this->constants.refuses_by_forecast && wait > max_wait) {
        this->refuse_new(request,
            { ErrorKind::Overloaded,
                "the queue is longer than the deadline allows; come back after the time given, or allow a later one",
                retry_after(wait - max_wait) });
        return;
    }
    this->enqueue(add_generation(this->tables, std::move(row)));
}

void PoolState::enqueue(GenerationIndex index)
{
    auto const& generation = this->tables.generations[index];
    auto& queue = this->tables.organisations[generation.organisation].queue;
    auto is_later
        = [&](GenerationIndex other) { return this->tables.generations[other].deadline > generation.deadline; };
    queue.insert(std::ranges::find_if(queue, is_later), index);
    this->tables.organisations[generation.organisation].queued_cost += generation.charged;
    ++this->tables.queued_count;
}

void PoolState::first_token(GenerationId const& id, Instant now)
{
    auto index = find_generation(this->tables, id);
    if (!index || this->tables.generations[*index].state != GenerationState::Dispatched)
        return;
    auto& generation = this->tables.generations[*index];
    auto& engine = this->tables.engines[generation.engine];
    generation.state = GenerationState::Decoding;
    auto steps_now = engine.steps + AK::to_seconds(now - engine.steps_at) / engine.step_seconds;
    generation.steps_at_first_token = steps_now;
    generation.produced_before = 1;
    generation.produced = 1;
    engine.prefill_backlog = std::max(engine.prefill_backlog - generation.prompt, 0.0);
    engine.demand_is_stale = true;
}

void PoolState::detach_from_engine(GenerationIndex index)
{
    auto const& generation = this->tables.generations[index];
    auto& engine = this->tables.engines[generation.engine];
    std::erase(engine.generations, index);
    if (generation.state == GenerationState::Dispatched)
        engine.prefill_backlog = std::max(engine.prefill_backlog - generation.prompt, 0.0);
    engine.demand_is_stale = true;
    --this->tables.organisations[generation.organisation].running;
}

void PoolState::settle_charge(GenerationRow const& generation, double actual_cost)
{
    auto& organisation = this->tables.organisations[generation.organisation];
    organisation.virtual_time += actual_cost / organisation.weight;
    organisation.outstanding = std::max(organisation.outstanding - generation.charged, 0.0);
}

void PoolState::finished(
    GenerationId const& id, AttemptNumber attempt, EndReason reason, TokenCount output, Instant now)
{
    auto index = find_generation(this->tables, id);
    if (!index || this->tables.generations[*index].attempt != attempt)
        return;
    auto generation = this->tables.generations[*index];
    if (generation.state == GenerationState::Queued) {
        dequeue(this->tables, *index);
        remove_generation(this->tables, *index);
        return;
    }
    auto tokens = static_cast<double>(output.value());
    if (reason != EndReason::NotStarted) {
        auto bin = LengthBins::index(tokens);
        this->tables.forecasts.advance(generation.forecast, generation.bin, bin);
        if (reason == EndReason::Completed)
            this->tables.forecasts.finish(generation.forecast, tokens);
        adjust_safety(this->tables, this->constants, 0, 1, now);
        auto held = AK::to_seconds(now - generation.dispatched_at);
        this->settle_charge(generation, (generation.prompt + tokens / 2) * held);
    } else {
        this->settle_charge(generation, 0);
    }
    this->detach_from_engine(*index);
    remove_generation(this->tables, *index);
}

void PoolState::load_report(EngineId const& id, LoadReport const& report, Instant now)
{
    auto* engine = find_engine(this->tables, id);
    if (!engine)
        return;
    if (engine->report && report.steps > engine->report->steps) {
        auto interval = (now - report.age) - (engine->report_received - engine->report->age);
        auto step_seconds = AK::to_seconds(interval) / (report.steps - engine->report->steps);
        // An idle engine runs no steps, so an average of seconds per step is not the time of a decoding step.
        constexpr double max_step_seconds = 1;
        if (step_seconds > 0 && step_seconds < max_step_seconds)
            engine->step_seconds += (step_seconds - engine->step_seconds) / 2;
    }
    if (engine->report && report.preemptions > engine->report->preemptions)
        adjust_safety(this->tables, this->constants, report.preemptions - engine->report->preemptions, 0, now);
    auto measured_at = now - report.age;
    auto estimated_tokens = 0.0;
    for (auto const& [at, tokens] : engine->usage_history) {
        if (at <= measured_at)
            estimated_tokens = tokens;
    }
    // The tolerance of a tenth covers partly filled blocks and extrapolated progress, which are not the work of another
    // process.
    engine->foreign_tokens = std::max(report.used_tokens - estimated_tokens * 1.1 - engine->capacity * 0.05, 0.0);
    engine->report = report;
    engine->report_received = now;
    engine->silent = false;
    engine->demand_is_stale = true;
}

void PoolState::expect_reports(Instant now)
{
    for (auto& engine : this->tables.engines) {
        engine.report_received = now;
        engine.report.reset();
        engine.silent = false;
    }
}

void PoolState::prefix_cached(EngineId const& id, u64 prefix_hash, bool is_present)
{
    auto* engine = find_engine(this->tables, id);
    if (!engine)
        return;
    if (is_present)
        engine->cached_prefixes.insert(prefix_hash);
    else
        engine->cached_prefixes.erase(prefix_hash);
}

void PoolState::clear_cached_prefixes(EngineId const& id)
{
    if (auto* engine = find_engine(this->tables, id))
        engine->cached_prefixes.clear();
}

bool PoolState::knows(GenerationId const& id) const { return find_generation(this->tables, id).has_value(); }

bool PoolState::is_queued(GenerationId const& id) const
{
    auto index = find_generation(this->tables, id);
    return index && this->tables.generations[*index].state == GenerationState::Queued;
}

std::vector<std::pair<GenerationId, AttemptNumber>> PoolState::find_unlisted_generations(
    EngineId const& id, std::set<GenerationId> const& listed, Instant placed_before) const
{
    std::vector<std::pair<GenerationId, AttemptNumber>> result;
    auto found = this->tables.engine_of_id.find(id);
    if (found == this->tables.engine_of_id.end())
        return result;
    for (auto index : this->tables.engines[found->second].generations) {
        auto const& generation = this->tables.generations[index];
        if (generation.dispatched_at < placed_before && !listed.contains(generation.id))
            result.emplace_back(generation.id, generation.attempt);
    }
    return result;
}

void PoolState::rebuild(RunningGeneration const& running, Instant now)
{
    auto* engine = find_engine(this->tables, running.engine);
    if (!engine || find_generation(this->tables, running.generation))
        return;
    GenerationRow row;
    row.id = running.generation;
    row.attempt = running.attempt;
    row.organisation = organisation_index(this->tables, running.forecast_key.organisation);
    row.forecast = this->tables.forecasts.index_of(running.forecast_key);
    row.state = running.produced.value() > 0 ? GenerationState::Decoding : GenerationState::Dispatched;
    row.engine = this->tables.engine_of_id[running.engine];
    row.prompt = static_cast<double>(running.prompt.value());
    row.maximum_output = static_cast<double>(running.maximum_output.value());
    row.arrived = row.dispatched_at = row.deadline = now;
    row.produced_before = row.produced = static_cast<double>(running.produced.value());
    row.steps_at_first_token = engine->steps;
    row.bin = LengthBins::index(row.produced);
    if (row.state == GenerationState::Dispatched)
        engine->prefill_backlog += row.prompt;
    this->raise_virtual_time(this->tables.organisations[row.organisation]);
    ++this->tables.organisations[row.organisation].running;
    engine->generations.push_back(add_generation(this->tables, std::move(row)));
    engine->demand_is_stale = true;
}

std::optional<OrganisationIndex> PoolState::next_organisation(std::vector<bool> const& skipped) const
{
    std::optional<OrganisationIndex> best;
    auto comes_before = [&](OrganisationRow const& left, OrganisationRow const& right) {
        if (this->constants.is_fair)
            return normalised_service(left) < normalised_service(right);
        return this->tables.generations[left.queue.front()].arrived
            < this->tables.generations[right.queue.front()].arrived;
    };
    for (OrganisationIndex i = 0; i < this->tables.organisations.size(); ++i) {
        auto const& organisation = this->tables.organisations[i];
        if (organisation.queue.empty() || skipped[i])
            continue;
        if (!best || comes_before(organisation, this->tables.organisations[*best]))
            best = i;
    }
    return best;
}

int PoolState::priority_of(GenerationRow const& generation) const
{
    // An engine that runs out of memory preempts the lowest priority first: routes that weigh pauses least, and
    // organisations that have received more service than others.
    auto weight = generation.weights.token_gap + generation.weights.preemption;
    auto lowest = std::numeric_limits<double>::infinity();
    for (auto const& organisation : this->tables.organisations) {
        if (organisation.running > 0 || !organisation.queue.empty())
            lowest = std::min(lowest, normalised_service(organisation));
    }
    auto const& organisation = this->tables.organisations[generation.organisation];
    auto is_above_share = normalised_service(organisation) > lowest * 1.5;
    return static_cast<int>(std::lround(weight * 10)) - (is_above_share ? 5 : 0);
}

void PoolState::place(GenerationIndex index, EngineIndex engine_index, std::string reason, Instant now)
{
    dequeue(this->tables, index);
    auto& generation = this->tables.generations[index];
    update_wait_correction(this->tables, generation, now);
    auto& organisation = this->tables.organisations[generation.organisation];
    auto& engine = this->tables.engines[engine_index];
    organisation.outstanding += generation.charged;
    ++organisation.running;
    generation.state = GenerationState::Dispatched;
    generation.engine = engine_index;
    generation.dispatched_at = now;
    generation.bin = 0;
    this->tables.forecasts.start(generation.forecast);
    engine.generations.push_back(index);
    engine.prefill_backlog += generation.prompt;
    if (!engine.demand_is_stale)
        add_demand(engine.demand, this->tables.forecasts.curve(generation.forecast), generation, 0);
    this->tables.actions.push_back(PlaceAction { generation.id, generation.attempt, engine.id, engine.address,
        this->priority_of(generation), std::move(reason) });
}

bool PoolState::has_waited_long(GenerationRow const& generation, Instant now) const
{
    auto waited = AK::to_seconds(now - generation.arrived);
    return waited >= AK::to_seconds(generation.deadline - generation.arrived) * this->constants.bypass_share;
}

}
