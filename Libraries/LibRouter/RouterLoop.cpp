/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRouter/RouterLoop.h>
#include <algorithm>

namespace Router {

using Core::EventNumber;

// A generation that its engine does not list is dropped after this time, in case its gateway has died.
static constexpr Duration unlisted_timeout = 3s;
// A pool is kept up to date for this long after a request for it, even if another router owns it.
static constexpr Duration requested_pool_retention = 30s;

static Instant now() { return AK::BootClock::now(); }

RouterLoop::RouterLoop(Node::Node& node, RouterSettings const& settings)
    : node(node)
    , settings(settings)
    , claim_handler(node, settings.claim_period)
    , order_keeper(node, settings)
{
    node.on_message([this](wire::Envelope const& envelope) { this->receive(envelope); });
    node.on_backend_servers([this] { this->update_all_engines(); });
    node.on_revision([this] { this->update_all_engines(); });
    node.on_members([this] { this->update_ownership(); });
    node.loop().every(settings.tick_period, [this] { this->tick(); });
    node.loop().every(settings.load_poll_period, [this] { this->poll_engines(); });
}

RouterLoop::Pool& RouterLoop::pool_of(ModelId const& model)
{
    auto& pool = this->pools[model];
    if (!pool) {
        pool = std::make_unique<Pool>(model, this->constants);
        this->update_engines(*pool);
        for (auto& [id, engine] : pool->engines)
            this->poll_engine(*pool, engine);
    }
    return *pool;
}

RouterLoop::Pool* RouterLoop::find_pool_of(GenerationId const& generation)
{
    auto found = this->pool_of_generation.find(generation);
    return found == this->pool_of_generation.end() ? nullptr : this->pools[found->second].get();
}

// Engines

void RouterLoop::update_engines(Pool& pool)
{
    std::set<EngineId> listed;
    for (auto const& record : this->node.backend_servers()) {
        if (record.model != pool.model || !record.service.value().empty())
            continue;
        listed.insert(record.id);
        auto [entry, is_new] = pool.engines.try_emplace(record.id);
        entry->second.record = record;
        pool.scheduler.put_engine(record.id, record.address, static_cast<double>(record.capacity.value()), now());
        pool.scheduler.set_draining(record.id, this->node.is_leaving(record.id));
        if (is_new) {
            this->node.events().record(EventNumber::EngineSeen, record.id.value(), record.address.value());
            this->poll_engine(pool, entry->second);
        }
    }
    std::erase_if(pool.engines, [&](auto const& entry) {
        if (listed.contains(entry.first))
            return false;
        pool.scheduler.remove_engine(entry.first);
        return true;
    });
}

void RouterLoop::update_all_engines()
{
    for (auto const& record : this->node.backend_servers()) {
        if (record.service.value().empty())
            this->pool_of(record.model);
    }
    for (auto& [model, pool] : this->pools)
        this->update_engines(*pool);
    this->update_ownership();
}

void RouterLoop::update_ownership()
{
    for (auto& [model, pool] : this->pools) {
        auto const* owner = this->node.owner_of("pool/" + model.value());
        auto is_own = owner && owner->id == this->node.settings().member;
        if (is_own == pool->is_own)
            continue;
        if (is_own && !is_in_use(*pool))
            this->start_polling(*pool);
        pool->is_own = is_own;
        this->node.events().record(
            is_own ? EventNumber::OwnershipTaken : EventNumber::OwnershipGivenUp, model.value(), "pool of this domain");
    }
}

bool RouterLoop::is_in_use(Pool const& pool)
{
    return pool.is_own || now() - pool.last_requested < requested_pool_retention;
}

void RouterLoop::start_polling(Pool& pool)
{
    pool.scheduler.expect_reports(now());
    for (auto& [id, engine] : pool.engines)
        this->poll_engine(pool, engine);
}

void RouterLoop::poll_engines()
{
    for (auto& [model, pool] : this->pools) {
        if (!is_in_use(*pool))
            continue;
        for (auto& [id, engine] : pool->engines)
            this->poll_engine(*pool, engine);
    }
}

void RouterLoop::poll_engine(Pool& pool, EngineState& engine)
{
    if (engine.is_being_polled)
        return;
    engine.is_being_polled = true;
    this->node.background().submit(
        [address = engine.record.address, after = engine.cache_sequence, timeout = this->settings.engine_timeout] {
            return fetch_report(address, after, timeout);
        },
        [this, model = pool.model, id = engine.record.id](
            Result<EngineReport> const& report) { this->handle_report(model, id, report); });
}

void RouterLoop::handle_report(ModelId const& model, EngineId const& id, Result<EngineReport> const& result)
{
    auto& pool = *this->pools[model];
    auto found = pool.engines.find(id);
    if (found == pool.engines.end())
        return;
    auto& engine = found->second;
    engine.is_being_polled = false;
    if (!result)
        return;
    auto const& report = result.value();
    if (report.is_leaving)
        this->node.backend_server_is_leaving(id);
    else if (!this->node.configuration().is_draining(id))
        this->node.backend_server_is_back(id);
    pool.scheduler.set_draining(id, this->node.is_leaving(id));
    pool.scheduler.put_engine(id, engine.record.address, report.capacity_tokens, now());
    pool.scheduler.load_report(id,
        { report.used_tokens, report.running, report.waiting, report.steps, report.preemptions, report.age }, now());
    if (report.cache_has_gap)
        pool.scheduler.clear_cached_prefixes(id);
    for (auto const& [hash, is_present] : report.cache_events)
        pool.scheduler.prefix_cached(id, hash, is_present);
    engine.cache_sequence = report.cache_sequence;
    this->drop_unknown_generations(pool, id, report);
    this->order_keeper.engine_reported(engine.record, report.adapters);
    this->execute(pool, pool.scheduler.admit(now()));
}

void RouterLoop::drop_unknown_generations(Pool& pool, EngineId const& id, EngineReport const& report)
{
    std::set<GenerationId> listed(report.generations.begin(), report.generations.end());
    for (auto const& [generation, attempt] :
        pool.scheduler.find_unlisted_generations(id, listed, now() - unlisted_timeout)) {
        pool.scheduler.finished(generation, attempt, Scheduling::EndReason::Censored, TokenCount(0), now());
        pool.requesters.erase(generation);
        this->pool_of_generation.erase(generation);
    }
}

// Messages

void RouterLoop::receive(wire::Envelope const& envelope)
{
    Address sender(envelope.sender_address());
    switch (envelope.body_case()) {
    case wire::Envelope::kPlaceRequest:
        this->receive(envelope.place_request(), sender);
        return;
    case wire::Envelope::kStarted: {
        GenerationId generation(envelope.started().generation());
        if (auto* pool = this->find_pool_of(generation))
            pool->scheduler.first_token(generation, now());
        return;
    }
    case wire::Envelope::kFinished:
        this->receive(envelope.finished());
        return;
    case wire::Envelope::kLiveGenerations:
        this->receive(envelope.live_generations());
        return;
    case wire::Envelope::kClaimRequest:
        this->claim_handler.receive(envelope.claim_request(), sender);
        return;
    case wire::Envelope::kClaimRelease:
        this->claim_handler.receive(envelope.claim_release());
        return;
    default:
        return;
    }
}

static Scheduling::MeasureWeights to_weights(wire::MeasureWeights const& configured)
{
    auto sum = configured.stall() + configured.token_gap() + configured.preemption();
    if (sum <= 0)
        return {};
    return { configured.stall() / sum, configured.token_gap() / sum, configured.preemption() / sum };
}

void RouterLoop::receive(wire::PlaceRequest const& request, Address const& sender)
{
    OrganisationId organisation_id(request.organisation());
    RouteName route_name(request.route());
    // Checked here as well as at the gateway, because the gateway's configuration may be older.
    auto const* organisation = this->node.configuration().find_organisation(organisation_id);
    auto const* route = this->node.configuration().find_route(organisation_id, route_name);
    if (!organisation || !route) {
        wire::Envelope envelope;
        auto* reply = envelope.mutable_place_reply();
        reply->set_generation(request.generation());
        reply->set_attempt(request.attempt());
        reply->set_error_kind(std::string(to_string(ErrorKind::UnknownRoute)));
        reply->set_error_message("the route is not configured any more; ask your operator for the routes in use");
        this->node.send(sender, std::move(envelope));
        return;
    }
    auto& pool = this->pool_of(ModelId(route->model()));
    if (!is_in_use(pool))
        this->start_polling(pool);
    pool.last_requested = now();
    Scheduling::SubmitRequest submit;
    submit.generation = GenerationId(request.generation());
    submit.attempt = AttemptNumber(request.attempt());
    submit.forecast_key = { organisation_id, route_name, ModelId(route->model()) };
    submit.organisation_weight = organisation->weight();
    submit.maximum_concurrency = organisation->maximum_concurrency();
    submit.maximum_rate = organisation->maximum_rate();
    submit.prompt = TokenCount(request.prompt_tokens());
    submit.maximum_output = TokenCount(request.maximum_output_tokens());
    submit.prefix_hash = request.prefix_hash();
    submit.weights = to_weights(route->weights());
    submit.deadline = std::chrono::milliseconds(request.deadline_milliseconds());
    for (auto const& engine : request.excluded_engines())
        submit.excluded_engines.emplace_back(engine);
    pool.requesters[submit.generation] = sender;
    this->pool_of_generation[submit.generation] = pool.model;
    this->node.metrics().add("lilac_place_requests_total");
    auto was_known = pool.scheduler.knows(submit.generation);
    pool.scheduler.submit(submit, now());
    this->execute(pool, pool.scheduler.admit(now()));
    if (!pool.scheduler.is_queued(submit.generation))
        return;
    if (!was_known)
        this->node.events().record(
            EventNumber::GenerationQueued, request.generation(), "no engine has room yet", organisation_id);
    wire::Envelope envelope;
    envelope.mutable_place_reply()->set_generation(request.generation());
    envelope.mutable_place_reply()->set_attempt(request.attempt());
    envelope.mutable_place_reply()->set_queued(true);
    this->node.send(sender, std::move(envelope));
}

static Scheduling::EndReason to_end_reason(wire::FinishReason reason)
{
    switch (reason) {
    case wire::FINISH_COMPLETED:
        return Scheduling::EndReason::Completed;
    case wire::FINISH_NOT_STARTED:
        return Scheduling::EndReason::NotStarted;
    default:
        return Scheduling::EndReason::Censored;
    }
}

void RouterLoop::receive(wire::GenerationFinished const& finished)
{
    GenerationId generation(finished.generation());
    auto* pool = this->find_pool_of(generation);
    if (!pool)
        return;
    pool->scheduler.finished(generation, AttemptNumber(finished.attempt()), to_end_reason(finished.reason()),
        TokenCount(finished.output_tokens()), now());
    if (!pool->scheduler.knows(generation)) {
        pool->requesters.erase(generation);
        this->pool_of_generation.erase(generation);
        this->node.events().record(EventNumber::GenerationFinished, finished.generation(),
            std::to_string(finished.output_tokens()) + " tokens");
    }
    this->execute(*pool, pool->scheduler.admit(now()));
}

void RouterLoop::receive(wire::LiveGenerations const& live)
{
    for (auto const& generation : live.generations()) {
        OrganisationId organisation(generation.organisation());
        RouteName route_name(generation.route());
        auto const* route = this->node.configuration().find_route(organisation, route_name);
        if (!route)
            continue;
        ModelId model(route->model());
        auto& pool = this->pool_of(model);
        GenerationId id(generation.generation());
        if (pool.scheduler.knows(id))
            continue;
        pool.scheduler.rebuild({ id, AttemptNumber(generation.attempt()), { organisation, route_name, model },
                                   TokenCount(generation.prompt_tokens()), TokenCount(generation.output_tokens()),
                                   TokenCount(generation.maximum_output_tokens()), EngineId(generation.engine()) },
            now());
        this->pool_of_generation[id] = model;
        this->node.events().record(EventNumber::GenerationRebuilt, generation.generation(),
            "runs at " + generation.engine() + ", told by its gateway", organisation);
    }
}

// Actions

void RouterLoop::execute(Pool& pool, std::vector<Scheduling::Action> const& actions)
{
    for (auto const& action : actions)
        std::visit([&](auto const& kind) { this->execute(pool, kind); }, action);
}

void RouterLoop::execute(Pool& pool, Scheduling::PlaceAction const& action)
{
    wire::Envelope envelope;
    auto* reply = envelope.mutable_place_reply();
    reply->set_generation(action.generation.value());
    reply->set_attempt(action.attempt.value());
    reply->set_engine(action.engine.value());
    reply->set_engine_address(action.address.value());
    reply->set_priority(action.priority);
    this->node.send(pool.requesters[action.generation], std::move(envelope));
    this->node.events().record(
        EventNumber::GenerationPlaced, action.generation.value(), "at " + action.engine.value() + ", " + action.reason);
}

void RouterLoop::execute(Pool& pool, Scheduling::RefuseAction const& action)
{
    wire::Envelope envelope;
    auto* reply = envelope.mutable_place_reply();
    reply->set_generation(action.generation.value());
    reply->set_attempt(action.attempt.value());
    reply->set_error_kind(std::string(to_string(action.error.kind)));
    reply->set_error_message(action.error.message);
    if (action.error.retry_after)
        reply->set_retry_after_milliseconds(static_cast<u32>(AK::to_milliseconds(*action.error.retry_after)));
    this->node.send(pool.requesters[action.generation], std::move(envelope));
    this->node.events().record(EventNumber::GenerationRefused, action.generation.value(), action.error.message);
    this->node.metrics().add("lilac_refusals_total");
    pool.requesters.erase(action.generation);
    this->pool_of_generation.erase(action.generation);
}

void RouterLoop::record_silent_engines(Pool& pool)
{
    // Only the owner polls the engines continuously. To other routers, they are always silent after a while.
    if (!pool.is_own)
        return;
    for (auto const& row : pool.scheduler.view().engines) {
        auto& engine = pool.engines[row.id];
        if (row.silent && !engine.is_silent)
            this->node.events().record(EventNumber::EngineSilent, row.id.value(), "no report; gets no new work");
        engine.is_silent = row.silent;
    }
}

void RouterLoop::tick()
{
    for (auto& [model, pool] : this->pools) {
        this->execute(*pool, pool->scheduler.tick(now()));
        this->record_silent_engines(*pool);
    }
    this->node.metrics().set("lilac_queued_generations", static_cast<double>(this->queued_count()));
}

size_t RouterLoop::queued_count() const
{
    size_t count = 0;
    for (auto const& [model, pool] : this->pools)
        count += pool->scheduler.view().queued_count;
    return count;
}

}
