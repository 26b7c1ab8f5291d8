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
    /// Steps take this many times what the model says.
    double time_scale { 1 };
    /// Reports are this old when they are given out.
    Duration report_age { 0 };
    /// Whether orders with an epoch or revision lower than one seen are refused.
    bool checks_epochs { true };
    /// Called after anything changed that a test may wait for. Any thread.
    std::function<void()> on_change {};
    /// Each execution is appended to this file as it begins, with all the tokens it would give if it ran to its end, so
    /// that the history outlives the process.
    std::string history_path {};
    /// A generation to which no stream is attached for so long is stopped.
    Duration orphan_limit { 10s };
};

/// A model engine over HTTP. Paths: POST /v1/generations, GET /v1/generations/ID/stream, DELETE /v1/generations/ID,
/// GET /v1/load, POST /v1/orders; and for tests /control/... as serve_control() has them. Output lengths come from the
/// prompt: "[tokens=N]", or drawn from its bytes.
class FakeEngine {
public:
    FakeEngine(Address const& listen, FakeEngineOptions);
    ~FakeEngine();

    [[nodiscard]] Address address() const { return this->server->address(); }
    /// A line of JSON for each execution begun here, with its tokens so far.
    std::string history();
    /// As the control call of this name, for use in the same process as a test.
    void control(std::string const& action, std::map<std::string, std::string> const& query);
    /// Orders carried out, as "epoch:revision".
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
    /// The token at `offset`, which differs between executions, so that mixed outputs show.
    /// Wakes the streams that wait, and whoever watches the stand-in.
    void notify_change();
    void write_plan(Execution const&, i64 output_tokens);
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
    // Sequence number of the first one kept, and the events.
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
