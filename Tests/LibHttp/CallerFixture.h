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

/// As many as were lost together when it was seen.
inline constexpr size_t caller_count = 15;
/// Far longer than a busy machine lets a test wait for its turn.
inline constexpr Duration short_idle_timeout = 200ms;

/// A server and callers with a kept connection each, on one loop. Requests are noted when they are taken and answered
/// when the test says so.
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
        // What is left to do here after an answer has arrived there.
        this->settle();
        this->accepted_count = 0;
    }

    void wait_for_taken(size_t count)
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

    /// Serves until every caller has its further answer or has lost its connection, and what was queued by then is
    /// done.
    void serve_to_the_end()
    {
        ::Test::run_until(this->loop, [this] {
            this->respond_to_all();
            return std::ranges::all_of(
                this->callers, [](auto& caller) { return caller.responses() == 2 || caller.is_closed(); });
        });
        this->loop.poll();
    }

    /// A further caller that has had one answer.
    PersistentCaller& connect_caller()
    {
        auto& caller = this->callers.emplace_back(this->loop, this->endpoint);
        caller.send(PersistentCaller::get_request);
        auto before = this->accepted_count;
        this->wait_for_taken(before + 1);
        this->respond_to_all();
        ::Test::run_until(this->loop, [&] { return caller.responses() == 1; });
        this->settle();
        return caller;
    }

    /// Does all that is ready to be done.
    void settle()
    {
        while (this->loop.poll() > 0)
            this->loop.restart();
    }

    /// Over all callers and requests.
    size_t responses()
    {
        size_t count = 0;
        for (auto& caller : this->callers)
            count += caller.responses();
        return count;
    }

    /// To requests sent after connect_callers().
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
