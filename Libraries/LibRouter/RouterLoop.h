/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <LibRouter/ClaimHandler.h>
#include <LibRouter/EngineControl.h>
#include <LibRouter/OrderKeeper.h>
#include <LibRouter/RouterSettings.h>
#include <LibScheduling/PoolScheduler.h>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Router {

/// Runs a scheduler for each pool (the engines of this failure domain that serve one model). Membership determines
/// which router owns a pool. A router also handles requests for pools that it does not own. Only for the event loop
/// thread.
class RouterLoop {
public:
    RouterLoop(Node::Node&, RouterSettings const&);

    /// Number of requests that are waiting for an engine.
    [[nodiscard]] size_t queued_count() const;

private:
    using Scheduler = Scheduling::PoolScheduler<Scheduling::ForecastAdmission>;

    struct EngineState {
        Platform::BackendServerRecord record;
        bool is_being_polled { false };
        u64 cache_sequence { 0 };
        bool is_silent { false };
    };

    struct Pool {
        Pool(ModelId pool_model, Scheduling::PolicyConstants const& constants)
            : model(std::move(pool_model))
            , scheduler(Scheduling::ForecastAdmission(constants), constants)
        {
        }

        ModelId model;
        Scheduler scheduler;
        std::map<EngineId, EngineState> engines;
        /// The address of the gateway that requested each generation.
        std::unordered_map<GenerationId, Address> requesters;
        bool is_own { false };
        Instant last_requested;
    };

    void receive(wire::Envelope const&);
    void receive(wire::PlaceRequest const&, Address const& sender);
    void receive(wire::GenerationFinished const&);
    void receive(wire::LiveGenerations const&);
    Pool& pool_of(ModelId const&);
    Pool* find_pool_of(GenerationId const&);
    void update_engines(Pool&);
    void update_all_engines();
    void update_ownership();
    void poll_engines();
    /// Whether the pool's engines are polled continuously.
    [[nodiscard]] static bool is_in_use(Pool const&);
    /// Begins to poll the engines of a pool that was not in use.
    void start_polling(Pool&);
    void poll_engine(Pool&, EngineState&);
    void handle_report(ModelId const&, EngineId const&, Result<EngineReport> const&);
    void drop_unknown_generations(Pool&, EngineId const&, EngineReport const&);
    void execute(Pool&, std::vector<Scheduling::Action> const&);
    void execute(Pool&, Scheduling::PlaceAction const&);
    void execute(Pool&, Scheduling::RefuseAction const&);
    void record_silent_engines(Pool&);
    void tick();

    Node::Node& node;
    RouterSettings const& settings;
    Scheduling::PolicyConstants constants;
    ClaimHandler claim_handler;
    OrderKeeper order_keeper;
    std::map<ModelId, std::unique_ptr<Pool>> pools;
    std::unordered_map<GenerationId, ModelId> pool_of_generation;
};

}
