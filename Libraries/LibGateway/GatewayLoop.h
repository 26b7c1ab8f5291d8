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

/// The gateway's state and decisions: the organisation and route of a request, the router to request a placement from,
/// and the live generations. Everything runs on the node's event loop. Connection threads call the post_* functions,
/// which may be called from any thread.
class GatewayLoop {
public:
    GatewayLoop(Node::Node&, GatewaySettings const&);

    void post_begin(std::shared_ptr<GenerationCall>);
    /// Requests another engine, because the engine did not start the attempt or was lost before the first token.
    void post_retry(std::shared_ptr<GenerationCall>, EngineId failed_engine, StreamFailure);
    void post_first_token(GenerationId const&);
    void post_finished(GenerationId const&, wire::FinishReason, u64 token_count, std::string const& text);
    /// Handles the loss of the caller's connection. The generation is cancelled after the resume grace period, unless
    /// the caller has resumed it by then, at this gateway or another one.
    void post_caller_disconnected(EngineSource const&, u64 token_count);
    void post_resume(std::shared_ptr<ResumeCall>);
    void post_resume_ended(GenerationId const&);

    /// Number of requests without a final response. May be called on any thread.
    [[nodiscard]] size_t open_count() const { return this->open_calls; }
    /// May be called on any thread.
    GenerationId new_generation_id();
    /// Returns the handler of plain-service calls. Its post_* functions may be called on any thread.
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
        /// The router from which a placement was last requested.
        MemberId router;
        Instant requested_at;
        /// Whether the router has reported that the request is in its queue.
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
    /// Routers that recently did not respond. Only a hint: correctness does not depend on it.
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
    /// Time until which an unresponsive router is avoided.
    std::map<MemberId, Instant> suspected_until;
    /// The owner of each model's pool that was last informed of the live generations.
    std::map<ModelId, MemberId> notified_owners;
    std::string id_prefix;
    std::atomic<u64> next_id { 1 };
    std::mt19937_64 random;
};

}
