/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/CallerServer.h>
#include <Tests/LibHttp/PersistentCaller.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <list>

namespace Http::Test {

/// The number of requests that were lost together in the observed failure.
inline constexpr size_t caller_count = 15;
/// Much longer than a busy machine delays a test.
inline constexpr Duration short_idle_timeout = 200ms;

/// A server and callers with one persistent connection each, on one event loop. Requests are counted when they are
/// accepted, and responses are sent when the test calls for them.
struct CallerFixture {
    CallerFixture()
    {
        this->context->on_request = [this](std::shared_ptr<Exchange> exchange) {
            ++this->accepted_count;
            this->waiting.push_back(std::move(exchange));
        };
        this->context->on_closed = [this](ConnectionClose const& close) { this->closes.push_back(close); };
        this->server.emplace(this->loop, this->endpoint, this->context);
    }

    void connect_callers()
    {
        for (size_t i = 0; i < caller_count; ++i) {
            this->callers.emplace_back(this->loop, this->endpoint);
            this->callers.back().send(PersistentCaller::get_request);
        }
        ::Test::run_until(this->loop, [this] { return this->waiting.size() == caller_count; });
        this->respond_to_all();
        ::Test::run_until(this->loop, [this] { return this->responses() == caller_count; });
        // Runs the server's handlers that are still queued after the callers have received their responses.
        this->settle();
        this->accepted_count = 0;
    }

    void wait_for_accepted(size_t count)
    {
        ::Test::run_until(this->loop, [this, count] { return this->accepted_count == count; });
    }

    void send_all(std::string const& bytes)
    {
        for (auto& caller : this->callers)
            caller.send(bytes);
    }

    void respond_to_all()
    {
        for (auto const& exchange : this->waiting)
            exchange->respond(Response(Status::ok, http_1_1));
        this->waiting.clear();
    }

    /// Serves until every caller has received its second response or lost its connection, then runs the handlers that
    /// are queued.
    void serve_to_the_end()
    {
        ::Test::run_until(this->loop, [this] {
            this->respond_to_all();
            return std::ranges::all_of(
                this->callers, [](auto& caller) { return caller.responses() == 2 || caller.is_closed(); });
        });
        this->loop.poll();
    }

    /// Connects another caller and serves one request of it.
    PersistentCaller& connect_caller()
    {
        auto& caller = this->callers.emplace_back(this->loop, this->endpoint);
        caller.send(PersistentCaller::get_request);
        auto before = this->accepted_count;
        this->wait_for_accepted(before + 1);
        this->respond_to_all();
        ::Test::run_until(this->loop, [&] { return caller.responses() == 1; });
        this->settle();
        return caller;
    }

    /// Runs the event loop until no handler is ready.
    void settle()
    {
        while (this->loop.poll() > 0)
            this->loop.restart();
    }

    /// Number of responses received by all callers.
    size_t responses()
    {
        size_t count = 0;
        for (auto& caller : this->callers)
            count += caller.responses();
        return count;
    }

    /// Number of responses to requests sent after connect_callers().
    size_t further_responses() { return this->responses() - caller_count; }

    asio::io_context loop;
    tcp::endpoint endpoint { ::Test::free_endpoint() };
    std::shared_ptr<CallerContext> context { std::make_shared<CallerContext>() };
    std::optional<CallerServer> server;
    std::list<PersistentCaller> callers;
    std::vector<std::shared_ptr<Exchange>> waiting;
    std::vector<ConnectionClose> closes;
    size_t accepted_count { 0 };
};

}
