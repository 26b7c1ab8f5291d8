/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPolicyBench/Simulation.h>
#include <boost/random/uniform_real_distribution.hpp>

namespace PolicyBench {

static constexpr Duration tick_period = 50ms;
static constexpr Duration one_way_delay = 1ms;

Simulation::Simulation(
    Scenario const& scenario, std::vector<Request> requests, MakeDispatcher const& make_dispatcher, u32 seed)
    : scenario(scenario)
    , requests(std::move(requests))
    , dispatcher(make_dispatcher(this->true_states))
    , random(seed)
{
    for (u32 i = 0; i < scenario.engine_count; ++i) {
        EngineId id("engine-" + std::to_string(i));
        this->engine_of_id[id] = this->engines.size();
        this->engines.push_back({ id, EngineModel::Engine(scenario.engine) });
        this->dispatcher->put_engine(id, static_cast<double>(scenario.engine.capacity_tokens), this->now);
        this->schedule(this->now + scenario.report_period * (i + 1) / scenario.engine_count, EventKind::Report, i);
    }
    for (size_t i = 0; i < this->requests.size(); ++i)
        this->schedule(this->requests[i].arrival, EventKind::Arrival, i);
    this->schedule(this->now, EventKind::Tick);
    if (scenario.reclaim_notice)
        this->schedule(Instant() + scenario.length / 2, EventKind::ReclaimNotice, 0);
}

void Simulation::schedule(Instant at, EventKind kind, size_t index)
{
    this->events.push({ at, this->next_sequence++, kind, index });
}

void Simulation::send(Duration delay, std::function<void()> message)
{
    this->events.push({ this->now + delay, this->next_sequence++, EventKind::Message, 0, std::move(message) });
}

bool Simulation::is_measured() const { return this->now.time_since_epoch() >= this->scenario.warm_up; }

Measures Simulation::run()
{
    auto end = Instant() + this->scenario.length;
    while (!this->events.empty() && this->events.top().at < end) {
        auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        this->handle(event);
    }
    this->measures.measured_seconds = AK::to_seconds(this->scenario.length - this->scenario.warm_up);
    return std::move(this->measures);
}

void Simulation::handle(Event& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        this->arrive(this->requests[event.index]);
        break;
    case EventKind::Tick:
        this->carry_out(this->dispatcher->tick(this->now));
        this->schedule(this->now + tick_period, EventKind::Tick);
        break;
    case EventKind::StepEnd:
        this->end_step(event.index);
        break;
    case EventKind::Report:
        this->report(event.index);
        break;
    case EventKind::Message:
        event.message();
        break;
    case EventKind::ReclaimNotice:
        this->dispatcher->set_draining(this->engines[event.index].id);
        this->schedule(this->now + *this->scenario.reclaim_notice, EventKind::EngineReclaimed, event.index);
        break;
    case EventKind::EngineReclaimed:
        this->reclaim_engine(event.index);
        break;
    }
}

void Simulation::arrive(Request const& request)
{
    auto const& traffic = this->class_of(request);
    if (this->is_measured()) {
        ++this->measures.arrivals;
        ++this->measures.arrivals_of_organisation[traffic.organisation];
    }
    this->true_states[id_of(request.key)] = { request.output, 0 };
    auto& progress = this->progress[request.key];
    progress.request = &request;
    this->submit(progress, traffic.deadline);
}

void Simulation::submit(Progress const& progress, Duration deadline)
{
    auto const& request = *progress.request;
    auto const& traffic = this->class_of(request);
    Scheduling::SubmitRequest submit;
    submit.generation = id_of(request.key);
    submit.attempt = progress.attempt;
    submit.forecast_key = { OrganisationId(traffic.organisation), RouteName(traffic.route), ModelId("model") };
    submit.prompt = TokenCount(request.prompt);
    submit.maximum_output = TokenCount(static_cast<i64>(traffic.maximum_output));
    submit.prefix_hash = request.prefix_hash;
    submit.weights = traffic.weights;
    submit.deadline = deadline;
    this->dispatcher->submit(submit, this->now);
    this->carry_out(this->dispatcher->admit(this->now));
}

void Simulation::carry_out(std::vector<Scheduling::Action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* place = std::get_if<Scheduling::PlaceAction>(&action))
            this->send(one_way_delay, [this, place = *place] { this->start_on_engine(place); });
        else
            this->refused(std::get<Scheduling::RefuseAction>(action).generation);
    }
}

void Simulation::refused(GenerationId const& id)
{
    auto key = std::stoull(id.value());
    auto const& traffic = this->class_of(*this->progress[key].request);
    if (this->is_measured()) {
        ++this->measures.refusals;
        ++this->measures.refusals_of_organisation[traffic.organisation];
    }
    this->progress.erase(key);
    this->true_states.erase(id);
}

void Simulation::start_on_engine(Scheduling::PlaceAction const& place)
{
    auto key = std::stoull(place.generation.value());
    auto& progress = this->progress[key];
    progress.engine = this->engine_of_id[place.engine];
    auto const& request = *progress.request;
    this->engines[progress.engine].model.start(
        { key, request.prompt, request.output, place.priority, request.prefix_hash });
    this->begin_step(progress.engine);
}

void Simulation::begin_step(size_t index)
{
    auto& engine = this->engines[index];
    if (engine.is_stepping || engine.is_reclaimed || engine.model.is_idle())
        return;
    engine.is_stepping = true;
    engine.step_events.clear();
    auto duration = engine.model.step(engine.step_events);
    this->schedule(this->now + duration, EventKind::StepEnd, index);
}

void Simulation::end_step(size_t index)
{
    auto& engine = this->engines[index];
    engine.is_stepping = false;
    if (engine.is_reclaimed)
        return;
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    for (auto const& event : engine.step_events) {
        switch (event.kind) {
        case EngineModel::StepEventKind::Token:
            this->handle_token(event.key);
            break;
        case EngineModel::StepEventKind::Finished:
            this->handle_end(event.key, event.offset);
            break;
        case EngineModel::StepEventKind::Preempted:
            if (this->is_measured())
                ++this->measures.preemptions;
            break;
        case EngineModel::StepEventKind::PrefixCached:
        case EngineModel::StepEventKind::PrefixEvicted: {
            if (uniform(this->random) < this->scenario.lost_cache_events)
                break;
            auto is_present = event.kind == EngineModel::StepEventKind::PrefixCached;
            this->send(this->scenario.report_lag, [this, id = engine.id, hash = event.key, is_present] {
                this->dispatcher->prefix_cached(id, hash, is_present);
            });
            break;
        }
        }
    }
    this->begin_step(index);
}

void Simulation::handle_token(u64 key)
{
    auto& progress = this->progress[key];
    auto const& request = *progress.request;
    auto const& traffic = this->class_of(request);
    ++this->true_states[id_of(key)].produced;
    if (!progress.has_first_token) {
        progress.has_first_token = true;
        if (this->is_measured()) {
            this->measures.stall.record(this->now - request.arrival);
            this->measures.stall_of_organisation[traffic.organisation].record(this->now - request.arrival);
            if (this->now - request.arrival <= traffic.deadline)
                ++this->measures.good;
        }
        this->send(one_way_delay, [this, id = id_of(key)] { this->dispatcher->first_token(id, this->now); });
    } else if (this->is_measured()) {
        this->measures.gap.record(this->now - progress.last_token);
    }
    progress.last_token = this->now;
    if (this->is_measured())
        this->measures.tokens_of_organisation[traffic.organisation] += 1;
}

void Simulation::handle_end(u64 key, i64 produced)
{
    if (this->is_measured())
        ++this->measures.completions;
    this->send(one_way_delay, [this, key, produced] {
        this->dispatcher->finished(
            id_of(key), this->progress[key].attempt, Scheduling::EndReason::Completed, TokenCount(produced), this->now);
        this->progress.erase(key);
        this->true_states.erase(id_of(key));
        this->carry_out(this->dispatcher->admit(this->now));
    });
}

void Simulation::report(size_t index)
{
    auto& engine = this->engines[index];
    if (engine.is_reclaimed)
        return;
    auto load = engine.model.load();
    Scheduling::LoadReport report { static_cast<double>(load.used_tokens), load.running, load.waiting,
        static_cast<double>(load.steps), static_cast<double>(load.preemptions), this->scenario.report_lag };
    this->send(this->scenario.report_lag,
        [this, id = engine.id, report] { this->dispatcher->load_report(id, report, this->now); });
    this->schedule(this->now + this->scenario.report_period, EventKind::Report, index);
}

void Simulation::reclaim_engine(size_t index)
{
    this->engines[index].is_reclaimed = true;
    std::vector<u64> keys;
    for (auto const& [key, progress] : this->progress) {
        if (progress.engine == index && this->engines[index].model.produced(key))
            keys.push_back(key);
    }
    std::ranges::sort(keys);
    for (auto key : keys) {
        auto& progress = this->progress[key];
        this->dispatcher->finished(id_of(key), progress.attempt, Scheduling::EndReason::Censored,
            TokenCount(this->true_states[id_of(key)].produced), this->now);
        if (progress.has_first_token) {
            // No other engine can continue it, so it fails for the caller.
            ++this->measures.lost;
            this->progress.erase(key);
            this->true_states.erase(id_of(key));
            continue;
        }
        progress.attempt = AttemptNumber(progress.attempt.value() + 1);
        auto left = this->class_of(*progress.request).deadline - (this->now - progress.request->arrival);
        this->submit(progress, std::max<Duration>(left, 1ms));
    }
}

}
