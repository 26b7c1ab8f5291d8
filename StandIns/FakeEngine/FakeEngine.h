/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibEngineModel/EngineModel.h>
#include <StandIns/Common/HttpStandIn.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace StandIns {

struct FakeEngineOptions {
    std::string name;
    std::string model;
    EngineModel::EngineParameters parameters;
    /// Factor by which a step's duration is multiplied, relative to the engine model.
    double time_scale { 1 };
    /// Age of the load reports that are returned.
    Duration report_age { 0 };
    /// Whether orders with a lower epoch or revision than one already seen are refused.
    bool checks_epochs { true };
    /// Called after every state change that a test may wait for. May be called on any thread.
    std::function<void()> on_change {};
    /// Each execution is appended to this file when it starts, with all tokens that it would produce if it completed.
    /// The history therefore survives the process.
    std::string history_path {};
    /// A generation without an attached stream is stopped after this time.
    Duration orphan_limit { 10s };
};

/// A simulated model engine with an HTTP interface. Paths: POST /v1/generations, GET /v1/generations/ID/stream,
/// DELETE /v1/generations/ID, GET /v1/load and POST /v1/orders; tests also use /control/ACTION, see control(). The
/// output length is taken from "[tokens=N]" in the prompt; without it, it is drawn at random with a hash of the prompt
/// as seed.
class FakeEngine {
public:
    FakeEngine(Address const& listen, FakeEngineOptions);
    ~FakeEngine();

    [[nodiscard]] Address address() const { return this->server->address(); }
    /// One line of JSON for each execution started here, with the tokens that it has produced so far.
    std::string history();
    /// Does the same as the request /control/ACTION, for tests that run in the same process.
    void control(std::string const& action, std::map<std::string, std::string> const& query);
    /// The orders that were carried out, as "epoch:revision".
    std::vector<std::string> orders();

private:
    struct Execution {
        u64 key { 0 };
        std::string generation;
        u32 attempt { 0 };
        std::string name;
        std::vector<std::string> tokens;
        bool is_finished { false };
        bool is_cancelled { false };
        u64 attachments { 0 };
        u32 attached { 0 };
        Instant unattached_since;
    };

    using Request = Poco::Net::HTTPServerRequest;
    using Response = Poco::Net::HTTPServerResponse;

    void serve(Request&, Response&);
    void serve_start(Request&, Response&);
    void serve_resume(Request&, Response&, std::string const& generation);
    void serve_cancel(Request&, Response&, std::string const& generation);
    void serve_load(Request&, Response&);
    void serve_order(Request&, Response&);
    void stream(Request&, Response&, std::shared_ptr<Execution> const&, u64 next_offset);
    bool write_new_tokens(Response&, std::ostream&, Execution&, u64& next_offset, bool& is_done);
    void step_forever();
    void wait_for_step(std::unique_lock<std::mutex>&, Duration);
    [[nodiscard]] Duration scaled(Duration) const;
    void apply_step_events(std::vector<EngineModel::StepEvent> const&);
    void stop_orphans();
    /// Notifies the waiting streams and calls options.on_change.
    void notify_change();
    void write_plan(Execution const&, i64 output_tokens);
    /// The token at `offset`. Differs between executions, so that tests detect mixed outputs.
    [[nodiscard]] std::string token_text(u64 key, size_t offset) const;
    void wait_while_frozen();
    std::string load_json(u64 after_cache_sequence);

    FakeEngineOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    EngineModel::Engine engine;
    u64 next_key { 1 };
    std::map<std::string, std::shared_ptr<Execution>> executions;
    std::map<u64, std::shared_ptr<Execution>> execution_of_key;
    std::map<std::string, u32> fenced_attempts;
    std::vector<std::shared_ptr<Execution>> started_executions;
    std::vector<std::string> adapters;
    std::vector<std::string> orders_done;
    u64 highest_epoch { 0 };
    u64 highest_revision { 0 };
    /// Number of events removed from the front of `cache_events`; also the sequence number of its first event.
    u64 cache_events_dropped { 0 };
    std::deque<std::pair<u64, bool>> cache_events;
    std::deque<std::pair<Instant, EngineModel::EngineLoad>> past_loads;
    std::atomic<bool> stopping { false };
    bool is_leaving { false };
    bool is_frozen { false };
    u64 disconnect_count { 0 };
    std::unique_ptr<HttpStandIn> server;
    std::thread stepper;
};

}
