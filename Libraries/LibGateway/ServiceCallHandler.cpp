/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/ServiceCallHandler.h>
#include <algorithm>
#include <vector>

namespace Gateway {

using Core::EventNumber;

// Claims are written in batches after a short wait. After this time the request is resent.
static constexpr Duration resend_after = 1s;

static Instant now() { return AK::BootClock::now(); }

ServiceCallHandler::ServiceCallHandler(Node::Node& node, Accounts& accounts, std::atomic<size_t>& open_calls)
    : node(node)
    , accounts(accounts)
    , open_calls(open_calls)
{
}

void ServiceCallHandler::post_call(std::shared_ptr<ServiceCall> call)
{
    ++this->open_calls;
    this->node.loop().post([this, call = std::move(call)] { this->begin(call); });
}

static bool is_repeatable_path(wire::PlainService const& service, std::string const& path)
{
    return std::ranges::any_of(
        service.repeatable_paths(), [&](auto const& prefix) { return path.starts_with(prefix); });
}

void ServiceCallHandler::begin(std::shared_ptr<ServiceCall> call)
{
    auto decided = [&]() -> Result<ServiceRow> {
        if (!this->node.is_ready())
            return Error { ErrorKind::NotReady, "this host is not ready: " + this->node.readiness_reason(), 1s };
        TRY(auto organisation, this->accounts.authenticate(call->api_key));
        auto const* service = this->node.configuration().find_service(call->service);
        if (!service
            || std::ranges::find(service->organisations(), organisation->id()) == service->organisations().end())
            return Error { ErrorKind::UnknownRoute,
                "your organisation has no such service; ask your operator for its services", {} };
        ServiceRow row;
        row.call = call;
        row.organisation = OrganisationId(organisation->id());
        row.is_repeatable = is_repeatable_path(*service, call->path);
        row.deadline = now() + call->deadline;
        return row;
    }();
    if (!decided) {
        --this->open_calls;
        call->decisions.put(Refused { decided.error() });
        return;
    }
    this->accounts.earn_retry(decided.value().organisation);
    auto& row = this->calls[call->id] = std::move(decided.value());
    if (call->idempotency_key.empty()) {
        this->dispatch(row);
        return;
    }
    row.nonce = call->id;
    this->request_claim(row);
}

void ServiceCallHandler::request_claim(ServiceRow& row)
{
    row.waits_for_claim = true;
    row.requested_at = now();
    auto const* owner = this->node.owner_of("claims");
    if (!owner)
        return;
    wire::Envelope envelope;
    auto* request = envelope.mutable_claim_request();
    request->set_organisation(row.organisation.value());
    request->set_idempotency_key(row.call->idempotency_key);
    request->set_nonce(row.nonce);
    this->node.send(owner->address, std::move(envelope));
}

void ServiceCallHandler::receive(wire::ClaimReply const& reply)
{
    auto found = this->calls.find(reply.nonce());
    if (found == this->calls.end() || !found->second.waits_for_claim)
        return;
    auto& row = found->second;
    row.waits_for_claim = false;
    switch (reply.answer()) {
    case wire::CLAIM_GRANTED:
        this->dispatch(row);
        return;
    case wire::CLAIM_TAKEN:
        this->node.events().record(EventNumber::ClaimRefused, row.call->id, "key in use", row.organisation);
        this->refuse(row,
            { ErrorKind::Conflict,
                "a call with this idempotency key was made before and may have run; look its result up, or use a "
                "new key for a new call",
                {} });
        return;
    default:
        this->refuse(row,
            { ErrorKind::PlatformUnavailable,
                "the claim on this idempotency key could not be made; this call was not run, come back later", 5s });
    }
}

Platform::BackendServerRecord const* ServiceCallHandler::choose_server(ServiceRow const& row)
{
    Platform::BackendServerRecord const* best = nullptr;
    for (auto const& server : this->node.backend_servers()) {
        if (server.service != row.call->service || row.failed_servers.contains(server.id)
            || this->node.is_leaving(server.id))
            continue;
        if (!best || this->calls_at_server[server.id] < this->calls_at_server[best->id])
            best = &server;
    }
    return best;
}

void ServiceCallHandler::dispatch(ServiceRow& row)
{
    auto const* server = this->choose_server(row);
    if (!server) {
        this->refuse(row,
            { ErrorKind::NoBackendServer, "no server of the service takes calls here; come back after the time given",
                2s });
        return;
    }
    row.server = server->id;
    ++this->calls_at_server[server->id];
    this->node.events().record(
        EventNumber::ServiceCallDispatched, row.call->id, "to " + server->id.value(), row.organisation);
    row.call->decisions.put(ServiceAdmitted { server->id, server->address, row.organisation, row.is_repeatable });
}

void ServiceCallHandler::release_claim(ServiceRow const& row)
{
    auto const* owner = this->node.owner_of("claims");
    // Also releases a claim without a reply, since it may have been made. Only its own nonce can release a claim.
    if (row.nonce.empty() || !owner)
        return;
    wire::Envelope envelope;
    auto* release = envelope.mutable_claim_release();
    release->set_organisation(row.organisation.value());
    release->set_idempotency_key(row.call->idempotency_key);
    release->set_nonce(row.nonce);
    this->node.send(owner->address, std::move(envelope));
}

void ServiceCallHandler::refuse(ServiceRow const& row, Error error)
{
    auto call = row.call;
    this->release_claim(row);
    this->calls.erase(call->id);
    --this->open_calls;
    call->decisions.put(Refused { std::move(error) });
}

void ServiceCallHandler::post_retry(std::shared_ptr<ServiceCall> call, EngineId failed_server)
{
    this->node.loop().post([this, call = std::move(call), failed_server = std::move(failed_server)] {
        auto found = this->calls.find(call->id);
        if (found == this->calls.end())
            return;
        auto& row = found->second;
        --this->calls_at_server[failed_server];
        row.failed_servers.insert(failed_server);
        if (now() >= row.deadline || !this->accounts.spend_retry(row.organisation)) {
            this->refuse(row,
                { ErrorKind::NoBackendServer, "the servers that were tried did not take the call; come back later",
                    2s });
            return;
        }
        this->dispatch(row);
    });
}

void ServiceCallHandler::post_ended(
    std::shared_ptr<ServiceCall> call, Delivery::Outcome outcome, std::string const& text)
{
    this->node.loop().post([this, call = std::move(call), outcome, text] {
        auto found = this->calls.find(call->id);
        if (found == this->calls.end())
            return;
        auto& row = found->second;
        --this->calls_at_server[row.server];
        this->node.events().record(EventNumber::ServiceCallEnded, call->id,
            std::string(Delivery::to_string(outcome)) + ' ' + text, row.organisation);
        if (outcome == Delivery::Outcome::NotRun)
            this->release_claim(row);
        this->calls.erase(found);
        --this->open_calls;
    });
}

void ServiceCallHandler::tick()
{
    std::vector<std::string> waiting;
    for (auto const& [id, row] : this->calls) {
        if (row.waits_for_claim)
            waiting.push_back(id);
    }
    for (auto const& id : waiting) {
        auto& row = this->calls[id];
        if (now() >= row.deadline)
            this->refuse(row,
                { ErrorKind::PlatformUnavailable,
                    "the claim on this idempotency key could not be made before the deadline; come back later", 5s });
        else if (now() - row.requested_at > resend_after)
            this->request_claim(row);
    }
}

}
