/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibGateway/Accounts.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/GenerationCall.h>
#include <LibGateway/ServiceCallHandler.h>
#include <LibNode/Node.h>
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace Gateway {

/// The gateway's tables and decisions: which organisation and route a request belongs to, whom to ask for an engine,
/// what is alive. Everything runs on the node's loop; edge threads come in by the
/// functions named post_*, which may be called from any thread.
class GatewayLoop {
public:
    GatewayLoop(Node::Node&, GatewaySettings const&);

    void post_begin(std::shared_ptr<GenerationCall>);
    /// The engine did not start the attempt, or was lost before any token: ask for another engine.
    void post_retry(std::shared_ptr<GenerationCall>, EngineId failed_engine, StreamFailure);
    void post_first_token(GenerationId const&);
    void post_finished(GenerationId const&, wire::FinishReason, u64 token_count, std::string const& text);
    /// The caller's connection is gone. The generation is stopped after a while, unless the caller has resumed it, here
    /// or at another gateway, by then.
    void post_caller_gone(EngineSource const&, u64 token_count);
    void post_resume(std::shared_ptr<ResumeCall>);
    void post_resume_ended(GenerationId const&);

    /// Requests that have not had their final answer. Any thread.
    [[nodiscard]] size_t open_count() const { return this->open_calls; }
    /// Any thread.
    GenerationId new_generation_id();
    /// Its post_ functions may be called from any thread.
    [[nodiscard]] ServiceCallHandler& services() { return this->service_call_handler; }
    [[nodiscard]] Node::Node& own_node() { return this->node; }

private:
    enum class RowState : u8 {
        WaitingForRouter,
        OnEngine,
    };

    struct GenerationRow {
        std::shared_ptr<GenerationCall> call;
        OrganisationId organisation;
        RouteName route;
        ModelId model;
        std::string adapter;
        u64 maximum_output_tokens { 0 };
        Instant deadline;
        AttemptNumber attempt;
        RowState state { RowState::WaitingForRouter };
        EngineId engine;
        MemberId router;
        Instant requested_at;
        /// The router that was asked has said that it has the request in its queue.
        bool is_queued { false };
        std::set<EngineId> excluded;
    };

    void receive(wire::Envelope const&);
    void receive_place_reply(wire::PlaceReply const&, Address const& sender);

    void begin(std::shared_ptr<GenerationCall>);
    void request_placement(GenerationRow&);
    [[nodiscard]] wire::PlaceRequest place_request(GenerationRow const&) const;
    void refuse(GenerationRow const&, Error);
    void retry(std::shared_ptr<GenerationCall> const&, EngineId const& failed_engine, StreamFailure);
    void check_waiting(GenerationRow&);
    /// Routers that did not answer of late. Nothing that must hold depends on it.
    [[nodiscard]] std::set<MemberId> suspected_routers();
    void notify_owner(GenerationRow const&, wire::Envelope);
    void members_changed();
    void announce_live_generations();
    void tick();

    void decide_resume(ResumeCall&);
    [[nodiscard]] Duration time_left(Instant deadline) const;

    Node::Node& node;
    GatewaySettings const& settings;
    std::atomic<size_t> open_calls { 0 };
    Accounts accounts;
    ServiceCallHandler service_call_handler;
    std::unordered_map<GenerationId, GenerationRow> generations;
    /// Until when each router that did not answer is passed over.
    std::map<MemberId, Instant> suspected_until;
    /// The owner of each model's pool as last told of the live generations.
    std::map<ModelId, MemberId> notified_owners;
    std::string id_prefix;
    std::atomic<u64> next_id { 1 };
    std::mt19937_64 random;
};

}
