/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibGateway/EdgeCall.h>
#include <LibGateway/GatewaySettings.h>
#include <LibNode/Node.h>
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace Gateway {

/// The gateway's tables and decisions: which organisation and route a request belongs to, whom to ask for an engine,
/// what is alive, where a plain-service call goes. Everything runs on the node's loop; edge threads come in by the
/// functions named post_*, which may be called from any thread.
class GatewayLoop {
public:
    GatewayLoop(Node::Node&, GatewaySettings const&);

    void post_begin(std::shared_ptr<EdgeCall>);
    /// The engine did not start the attempt, or was lost before any token: ask for another engine.
    void post_try_again(std::shared_ptr<EdgeCall>, EngineId failed_engine, StreamFailure);
    void post_first_token(GenerationId const&);
    void post_finished(GenerationId const&, wire::FinishReason, u64 token_count, std::string const& text);
    /// The caller's connection is gone. The generation is stopped after a while, unless the caller has resumed it, here
    /// or at another gateway, by then.
    void post_caller_gone(EngineSource const&, u64 token_count);
    void post_resume(std::shared_ptr<ResumeCall>);
    void post_resume_ended(GenerationId const&);
    void post_service_call(std::shared_ptr<ServiceCall>);
    /// Another try of a call that is known not to have run, or that may be repeated.
    void post_service_again(std::shared_ptr<ServiceCall>, EngineId failed_server);
    void post_service_ended(std::shared_ptr<ServiceCall>, Delivery::Outcome, std::string const& text);

    /// Requests that have not had their final answer. Any thread.
    [[nodiscard]] size_t open_count() const { return this->open_calls; }
    /// Any thread.
    GenerationId new_generation_id();
    [[nodiscard]] Node::Node& own_node() { return this->node; }

private:
    enum class RowState : u8 {
        AskedRouter,
        OnEngine,
    };

    struct GenerationRow {
        std::shared_ptr<EdgeCall> call;
        OrganisationId organisation;
        RouteName route;
        ModelId model;
        std::string adapter;
        u64 maximum_output_tokens { 0 };
        Instant deadline;
        AttemptNumber attempt;
        RowState state { RowState::AskedRouter };
        EngineId engine;
        MemberId asked;
        Instant asked_at;
        std::set<EngineId> excluded;
    };

    struct ServiceRow {
        std::shared_ptr<ServiceCall> call;
        OrganisationId organisation;
        bool is_repeatable { false };
        std::string nonce;
        bool is_claimed { false };
        bool waits_for_claim { false };
        Instant deadline;
        Instant asked_at;
        std::set<EngineId> failed_servers;
        EngineId server;
    };

    struct OrganisationRow {
        /// Repeats that may still be made; a tenth is earned with each request.
        double retry_allowance { 3 };
    };

    void receive(wire::Envelope const&);
    void receive_place_reply(wire::PlaceReply const&, Address const& sender);
    void receive_claim_reply(wire::ClaimReply const&);

    void begin(std::shared_ptr<EdgeCall>);
    void ask_router(GenerationRow&);
    [[nodiscard]] wire::PlaceRequest place_request(GenerationRow const&) const;
    void refuse(GenerationRow const&, Error);
    void try_again(std::shared_ptr<EdgeCall> const&, EngineId const& failed_engine, StreamFailure);
    void tell_owner(GenerationRow const&, wire::Envelope);
    void members_changed();
    void tell_owners_of_live_generations();
    void tick();

    void decide_resume(ResumeCall&);
    void begin_service_call(std::shared_ptr<ServiceCall>);
    void ask_for_claim(ServiceRow&);
    void dispatch_service_call(ServiceRow&);
    void refuse_service_call(ServiceRow const&, Error);
    [[nodiscard]] Platform::BackendServerRecord const* choose_server(ServiceRow const&);
    void release_claim(ServiceRow const&);

    [[nodiscard]] Result<wire::Organisation const*> authenticate(std::string const& api_key) const;
    bool spend_retry(OrganisationId const&);
    [[nodiscard]] Duration time_left(Instant deadline) const;

    Node::Node& node;
    GatewaySettings const& settings;
    std::unordered_map<GenerationId, GenerationRow> generations;
    std::unordered_map<std::string, ServiceRow> service_calls;
    std::unordered_map<OrganisationId, OrganisationRow> organisations;
    std::map<EngineId, u32> calls_at_server;
    /// The owner of each model's pool as last told of the live generations.
    std::map<ModelId, MemberId> told_owners;
    std::atomic<size_t> open_calls { 0 };
    std::string id_prefix;
    std::atomic<u64> next_id { 1 };
    std::mt19937_64 random;
};

}
