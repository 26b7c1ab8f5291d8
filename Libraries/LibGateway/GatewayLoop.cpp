/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GatewayLoop.h>
#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Gateway {

using Core::EventNumber;

static constexpr Duration tick_period = 100ms;
// A router responds or queues the request at once. After this time the request is resent, in case it was lost.
static constexpr Duration resend_after = 1s;
// Time for which an unresponsive router is avoided. By its end, gossip has established whether the router is gone.
static constexpr Duration suspicion = 15s;
static constexpr u32 default_deadline_milliseconds = 10'000;
static constexpr u64 default_maximum_output_tokens = 65'536;
static constexpr size_t max_excluded_engines = 8;

static Instant now() { return AK::BootClock::now(); }

static std::string random_hexadecimal(u64 value)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << value;
    return out.str();
}

GatewayLoop::GatewayLoop(Node::Node& node, GatewaySettings const& settings)
    : node(node)
    , settings(settings)
    , accounts(node)
    , service_call_handler(node, this->accounts, this->open_calls)
    , random(std::random_device {}())
{
    this->id_prefix = "gen-" + random_hexadecimal(this->random()) + '-';
    node.on_message([this](wire::Envelope const& envelope) { this->receive(envelope); });
    node.on_members([this] { this->members_changed(); });
    node.loop().every(tick_period, [this] { this->tick(); });
}

GenerationId GatewayLoop::new_generation_id()
{
    return GenerationId(this->id_prefix + std::to_string(this->next_id++));
}

Duration GatewayLoop::time_left(Instant deadline) const { return std::max<Duration>(deadline - now(), 0s); }

// Generations

void GatewayLoop::post_begin(std::shared_ptr<GenerationCall> call)
{
    ++this->open_calls;
    this->node.loop().post([this, call = std::move(call)] { this->begin(call); });
}

void GatewayLoop::begin(std::shared_ptr<GenerationCall> call)
{
    auto refuse_early = [&](Error error) {
        --this->open_calls;
        this->node.metrics().add("lilac_requests_refused_total");
        this->node.events().record(EventNumber::RequestRefused, call->generation.value(), error.message);
        call->decisions.put(Refused { std::move(error) });
    };
    if (!this->node.is_ready()) {
        refuse_early({ ErrorKind::NotReady, "this host is not ready: " + this->node.readiness_reason(), 1s });
        return;
    }
    auto organisation = this->accounts.authenticate(call->request.api_key);
    if (!organisation) {
        refuse_early(organisation.error());
        return;
    }
    OrganisationId organisation_id(organisation.value()->id());
    auto const* route = this->node.configuration().find_route(organisation_id, call->request.route);
    if (!route) {
        refuse_early({ ErrorKind::UnknownRoute,
            "your organisation has no route '" + call->request.route.value() + "'; ask your operator for its routes",
            {} });
        return;
    }
    GenerationRow row;
    row.call = call;
    row.organisation = organisation_id;
    row.route = call->request.route;
    row.model = ModelId(route->model());
    row.adapter = route->adapter();
    auto route_maximum
        = route->maximum_output_tokens() > 0 ? route->maximum_output_tokens() : default_maximum_output_tokens;
    row.maximum_output_tokens = std::min(call->request.maximum_output_tokens.value_or(route_maximum), route_maximum);
    auto route_deadline = route->default_deadline_milliseconds() > 0 ? route->default_deadline_milliseconds()
                                                                     : default_deadline_milliseconds;
    row.deadline = now() + call->request.deadline.value_or(std::chrono::milliseconds(route_deadline));
    row.attempt = AttemptNumber(1);

    this->accounts.earn_retry(organisation_id);
    this->node.metrics().add("lilac_requests_total");
    this->node.events().record(
        EventNumber::RequestReceived, call->generation.value(), "route " + row.route.value(), organisation_id);
    auto& stored = this->generations[call->generation] = std::move(row);
    this->request_placement(stored);
}

wire::PlaceRequest GatewayLoop::place_request(GenerationRow const& row) const
{
    wire::PlaceRequest request;
    request.set_generation(row.call->generation.value());
    request.set_attempt(row.attempt.value());
    request.set_organisation(row.organisation.value());
    request.set_route(row.route.value());
    request.set_prompt_tokens(static_cast<u32>(estimate_tokens(row.call->request.prompt).value()));
    request.set_maximum_output_tokens(static_cast<u32>(row.maximum_output_tokens));
    request.set_prefix_hash(salted_prefix_hash(row.organisation, row.call->request.prompt));
    request.set_deadline_milliseconds(static_cast<u32>(AK::to_milliseconds(this->time_left(row.deadline))));
    for (auto const& engine : row.excluded)
        request.add_excluded_engines(engine.value());
    return request;
}

void GatewayLoop::request_placement(GenerationRow& row)
{
    row.state = RowState::WaitingForRouter;
    row.requested_at = now();
    row.is_queued = false;
    auto const* owner = this->node.owner_of("pool/" + row.model.value(), this->suspected_routers());
    if (!owner)
        owner = this->node.owner_of("pool/" + row.model.value());
    if (!owner) {
        this->refuse(
            row, { ErrorKind::PeerUnavailable, "no router is reachable from this host; try again at another one", 2s });
        return;
    }
    row.router = owner->id;
    wire::Envelope envelope;
    *envelope.mutable_place_request() = this->place_request(row);
    this->node.send(owner->address, std::move(envelope));
}

void GatewayLoop::refuse(GenerationRow const& row, Error error)
{
    auto call = row.call;
    this->node.metrics().add("lilac_requests_refused_total");
    this->node.events().record(EventNumber::RequestRefused, call->generation.value(), error.message, row.organisation);
    this->generations.erase(call->generation);
    --this->open_calls;
    call->decisions.put(Refused { std::move(error) });
}

void GatewayLoop::receive(wire::Envelope const& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kPlaceReply:
        this->receive_place_reply(envelope.place_reply(), Address(envelope.sender_address()));
        return;
    case wire::Envelope::kClaimReply:
        this->service_call_handler.receive(envelope.claim_reply());
        return;
    default:
        return;
    }
}

static ErrorKind refusal_kind(std::string const& text)
{
    for (auto kind : { ErrorKind::OverLimit, ErrorKind::Overloaded, ErrorKind::DeadlineUnreachable,
             ErrorKind::NoBackendServer, ErrorKind::Forbidden, ErrorKind::UnknownRoute, ErrorKind::NotReady }) {
        if (to_string(kind) == text)
            return kind;
    }
    return ErrorKind::Overloaded;
}

void GatewayLoop::receive_place_reply(wire::PlaceReply const& reply, Address const& sender)
{
    auto found = this->generations.find(GenerationId(reply.generation()));
    auto is_awaited = found != this->generations.end() && found->second.state == RowState::WaitingForRouter
        && found->second.attempt == AttemptNumber(reply.attempt());
    if (!is_awaited) {
        // A late reply. The placement that it reserves is released, unless it is the one in use.
        auto is_current_placement = found != this->generations.end()
            && found->second.attempt == AttemptNumber(reply.attempt())
            && found->second.engine == EngineId(reply.engine());
        if (reply.engine().empty() || is_current_placement)
            return;
        wire::Envelope envelope;
        auto* finished = envelope.mutable_finished();
        finished->set_generation(reply.generation());
        finished->set_attempt(reply.attempt());
        finished->set_reason(wire::FINISH_NOT_STARTED);
        this->node.send(sender, std::move(envelope));
        return;
    }
    auto& row = found->second;
    if (reply.queued()) {
        row.is_queued = true;
        return;
    }
    if (reply.engine().empty()) {
        std::optional<Duration> retry_after;
        if (reply.retry_after_milliseconds() > 0)
            retry_after = std::chrono::milliseconds(reply.retry_after_milliseconds());
        this->refuse(row, { refusal_kind(reply.error_kind()), reply.error_message(), retry_after });
        return;
    }
    row.state = RowState::OnEngine;
    row.engine = EngineId(reply.engine());
    Admitted admitted;
    admitted.placement = { row.engine, Address(reply.engine_address()), row.attempt, reply.priority() };
    admitted.start = { row.call->generation, row.attempt, row.model.value(), row.adapter, row.call->request.prompt,
        row.maximum_output_tokens, reply.priority(), salted_prefix_hash(row.organisation, row.call->request.prompt) };
    admitted.organisation = row.organisation;
    admitted.route = row.route;
    if (auto const* key = this->node.configuration().newest_resume_key())
        admitted.signing_key = Delivery::SigningKey { key->id(), key->secret_hexadecimal() };
    row.call->decisions.put(std::move(admitted));
}

void GatewayLoop::post_retry(std::shared_ptr<GenerationCall> call, EngineId failed_engine, StreamFailure failure)
{
    this->node.loop().post([this, call = std::move(call), failed_engine = std::move(failed_engine), failure] {
        this->retry(call, failed_engine, failure);
    });
}

void GatewayLoop::retry(
    std::shared_ptr<GenerationCall> const& call, EngineId const& failed_engine, StreamFailure failure)
{
    auto found = this->generations.find(call->generation);
    if (found == this->generations.end())
        return;
    auto& row = found->second;
    if (failure == StreamFailure::Leaving)
        this->node.backend_server_is_leaving(failed_engine);
    wire::Envelope envelope;
    auto* finished = envelope.mutable_finished();
    finished->set_generation(call->generation.value());
    finished->set_attempt(row.attempt.value());
    finished->set_reason(wire::FINISH_NOT_STARTED);
    this->notify_owner(row, std::move(envelope));

    row.excluded.insert(failed_engine);
    if (now() >= row.deadline || row.excluded.size() > max_excluded_engines
        || !this->accounts.spend_retry(row.organisation)) {
        this->refuse(row,
            { ErrorKind::NoBackendServer,
                "the engines that were tried did not take the request; come back after the time given", 2s });
        return;
    }
    row.attempt = AttemptNumber(row.attempt.value() + 1);
    row.engine = {};
    this->node.events().record(EventNumber::PlacementRepeated, call->generation.value(),
        "attempt " + std::to_string(row.attempt.value()) + " after " + failed_engine.value(), row.organisation);
    this->request_placement(row);
}

std::set<MemberId> GatewayLoop::suspected_routers()
{
    std::erase_if(this->suspected_until, [](auto const& entry) { return entry.second <= now(); });
    std::set<MemberId> current;
    for (auto const& [id, until] : this->suspected_until)
        current.insert(id);
    return current;
}

void GatewayLoop::check_waiting(GenerationRow& row)
{
    auto const* owner = this->node.owner_of("pool/" + row.model.value(), this->suspected_routers());
    auto owner_moved = owner && owner->id != row.router;
    if (now() >= row.deadline) {
        this->refuse(row,
            { ErrorKind::DeadlineUnreachable, "no engine was found before the deadline; come back after the time given",
                2s });
        return;
    }
    auto is_overdue = now() - row.requested_at > resend_after;
    if (is_overdue && !row.is_queued)
        this->suspected_until[row.router] = now() + suspicion;
    if (owner_moved || is_overdue)
        this->request_placement(row);
}

void GatewayLoop::notify_owner(GenerationRow const& row, wire::Envelope envelope)
{
    auto const* owner = this->node.owner_of("pool/" + row.model.value());
    auto const* router = this->node.members().find(row.router);
    // While ownership moves, both routers may hold a row for the generation.
    if (router && (!owner || router->id != owner->id))
        this->node.send(router->address, envelope);
    if (owner)
        this->node.send(owner->address, std::move(envelope));
}

void GatewayLoop::post_first_token(GenerationId const& generation)
{
    this->node.loop().post([this, generation] {
        auto found = this->generations.find(generation);
        if (found == this->generations.end())
            return;
        wire::Envelope envelope;
        envelope.mutable_started()->set_generation(generation.value());
        envelope.mutable_started()->set_attempt(found->second.attempt.value());
        this->notify_owner(found->second, std::move(envelope));
        this->node.events().record(EventNumber::FirstTokenDelivered, generation.value(),
            "from " + found->second.engine.value(), found->second.organisation);
    });
}

void GatewayLoop::post_finished(
    GenerationId const& generation, wire::FinishReason reason, u64 token_count, std::string const& text)
{
    this->node.loop().post([this, generation, reason, token_count, text] {
        auto found = this->generations.find(generation);
        if (found == this->generations.end())
            return;
        wire::Envelope envelope;
        auto* finished = envelope.mutable_finished();
        finished->set_generation(generation.value());
        finished->set_attempt(found->second.attempt.value());
        finished->set_reason(reason);
        finished->set_output_tokens(static_cast<u32>(token_count));
        this->notify_owner(found->second, std::move(envelope));
        auto number = reason == wire::FINISH_FAILED ? EventNumber::StreamFailed : EventNumber::StreamEnded;
        this->node.events().record(number, generation.value(), text, found->second.organisation);
        this->generations.erase(found);
        --this->open_calls;
    });
}

void GatewayLoop::post_caller_disconnected(EngineSource const& source, u64 token_count)
{
    auto cancel = [this, source, token_count] {
        this->node.background().submit(
            [source, timeout = this->settings.connect_timeout] {
                cancel_on_engine(source.address, source.generation, source.attempt, source.attachment, timeout);
                return true;
            },
            [this, source, token_count](bool) {
                this->post_finished(source.generation, wire::FINISH_CANCELLED, token_count, "the caller went away");
            });
    };
    this->node.loop().post([this, cancel] { this->node.loop().after(this->settings.resume_grace, cancel); });
}

void GatewayLoop::members_changed()
{
    for (auto const& [model, owner] : std::map(this->notified_owners)) {
        auto const* current = this->node.owner_of("pool/" + model.value());
        if (current && current->id == owner)
            continue;
        this->notified_owners.erase(model);
    }
    this->announce_live_generations();
}

void GatewayLoop::announce_live_generations()
{
    std::map<ModelId, wire::Envelope> messages;
    for (auto& [id, row] : this->generations) {
        if (this->notified_owners.contains(row.model))
            continue;
        if (row.state == RowState::WaitingForRouter)
            continue;
        auto* live = messages[row.model].mutable_live_generations()->add_generations();
        live->set_generation(id.value());
        live->set_attempt(row.attempt.value());
        live->set_organisation(row.organisation.value());
        live->set_route(row.route.value());
        live->set_prompt_tokens(static_cast<u32>(estimate_tokens(row.call->request.prompt).value()));
        live->set_output_tokens(row.call->delivered);
        live->set_engine(row.engine.value());
        live->set_maximum_output_tokens(static_cast<u32>(row.maximum_output_tokens));
    }
    for (auto& [model, envelope] : messages) {
        if (auto const* owner = this->node.owner_of("pool/" + model.value())) {
            this->notified_owners[model] = owner->id;
            this->node.send(owner->address, std::move(envelope));
        }
    }
}

void GatewayLoop::tick()
{
    std::vector<GenerationId> due;
    for (auto const& [id, row] : this->generations) {
        if (row.state == RowState::WaitingForRouter)
            due.push_back(id);
        else if (!this->notified_owners.contains(row.model)) {
            // The owner that placed the generation already knows it.
            if (auto const* owner = this->node.owner_of("pool/" + row.model.value()))
                this->notified_owners[row.model] = owner->id;
        }
    }
    for (auto const& id : due) {
        this->check_waiting(this->generations[id]);
    }
    this->service_call_handler.tick();
    this->node.metrics().set("lilac_open_generations", static_cast<double>(this->generations.size()));
}

// Resuming

void GatewayLoop::post_resume(std::shared_ptr<ResumeCall> call)
{
    ++this->open_calls;
    this->node.loop().post([this, call = std::move(call)] { this->decide_resume(*call); });
}

void GatewayLoop::post_resume_ended(GenerationId const& generation)
{
    this->node.loop().post([this, generation] {
        --this->open_calls;
        this->node.events().record(EventNumber::StreamEnded, generation.value(), "resumed stream ended");
    });
}

void GatewayLoop::decide_resume(ResumeCall& call)
{
    auto verified = [&]() -> Result<Delivery::ResumeToken> {
        TRY(auto organisation, this->accounts.authenticate(call.api_key));
        TRY(auto key_id, Delivery::signing_key_id(call.token));
        auto const* key = this->node.configuration().find_resume_key(key_id);
        if (!key)
            return Error { ErrorKind::Forbidden, "the resume token's key is no longer in use; start again", {} };
        TRY(auto token,
            Delivery::verify(
                call.token, { key->id(), key->secret_hexadecimal() }, Core::SystemClock().wall_milliseconds()));
        if (token.organisation.value() != organisation->id() || token.generation != call.generation)
            return Error { ErrorKind::Forbidden, "the resume token belongs to another request; send your own", {} };
        return token;
    }();
    if (verified) {
        auto const& token = verified.value();
        this->node.events().record(EventNumber::StreamResumed, token.generation.value(),
            "from offset " + std::to_string(call.next_offset) + " at " + token.engine.value(), token.organisation);
        call.decisions.put(token);
        return;
    }
    --this->open_calls;
    call.decisions.put(Refused { verified.error() });
}

}
