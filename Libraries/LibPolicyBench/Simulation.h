/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPolicyBench/Dispatcher.h>
#include <LibPolicyBench/Measures.h>
#include <LibPolicyBench/Workload.h>
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace PolicyBench {

using MakeDispatcher = std::function<std::unique_ptr<Dispatcher>(TrueStates const&)>;

/// Runs one policy on one workload in virtual time. The same inputs give the same measures on any machine.
class Simulation {
public:
    Simulation(Scenario const&, std::vector<Request> requests, MakeDispatcher const&, u32 seed);
    Measures run();

private:
    enum class EventKind : u8 {
        Arrival,
        Tick,
        /// The end of a step of an engine.
        StepEnd,
        Report,
        Message,
        ReclaimNotice,
        EngineReclaimed,
    };

    struct Event {
        Instant at;
        u64 sequence;
        EventKind kind;
        size_t index { 0 };
        std::function<void()> message {};
        bool operator>(Event const& other) const
        {
            return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence);
        }
    };

    struct SimulatedEngine {
        EngineId id;
        EngineModel::Engine model;
        bool is_stepping { false };
        bool is_reclaimed { false };
        std::vector<EngineModel::StepEvent> step_events {};
    };

    struct Progress {
        Request const* request { nullptr };
        AttemptNumber attempt { 1 };
        size_t engine { 0 };
        bool has_first_token { false };
        Instant last_token;
    };

    void schedule(Instant at, EventKind, size_t index = 0);
    void send(Duration delay, std::function<void()> message);
    void handle(Event&);
    void arrive(Request const&);
    void submit(Progress const&, Duration deadline);
    void carry_out(std::vector<Scheduling::Action> const&);
    void start_on_engine(Scheduling::PlaceAction const&);
    void refused(GenerationId const&);
    void begin_step(size_t engine);
    void end_step(size_t engine);
    void handle_token(u64 key);
    void handle_end(u64 key, i64 produced);
    void report(size_t engine);
    void reclaim_engine(size_t engine);
    [[nodiscard]] bool is_measured() const;
    [[nodiscard]] TrafficClass const& class_of(Request const& request) const
    {
        return this->scenario.classes[request.traffic_class];
    }
    static GenerationId id_of(u64 key) { return GenerationId(std::to_string(key)); }

    Scenario const& scenario;
    std::vector<Request> requests;
    TrueStates true_states;
    std::unique_ptr<Dispatcher> dispatcher;
    boost::random::mt19937 random;
    std::vector<SimulatedEngine> engines;
    std::unordered_map<EngineId, size_t> engine_of_id;
    std::unordered_map<u64, Progress> progress;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    u64 next_sequence { 0 };
    Instant now;
    Measures measures;
};

}
