/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerServer.h>
#include <Tests/LibHttp/KeptCaller.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <list>

using Http::Test::KeptCaller;

namespace {

/// As many as were lost together when it was seen.
constexpr size_t caller_count = 15;
constexpr Duration short_idle_timeout = 40ms;

/// Passes time in which the loop under test does nothing, as when its process gets no processor.
void stall_for(Duration duration)
{
    Http::asio::io_context other;
    Http::asio::steady_timer timer(other, duration);
    timer.async_wait([](boost::system::error_code) {});
    other.run();
}

/// A server and callers with a kept connection each, on one loop. Requests are noted when they are taken and answered
/// when the test says so.
struct Fixture {
    Fixture()
    {
        this->context->on_request = [this](std::shared_ptr<Http::Exchange> exchange) {
            ++this->taken_count;
            this->waiting.push_back(std::move(exchange));
        };
        this->context->on_closed = [this](Http::ConnectionClose const& close) { this->closes.push_back(close); };
        this->server.emplace(this->loop, this->endpoint, this->context);
    }

    void connect_callers()
    {
        for (size_t i = 0; i < caller_count; ++i) {
            this->callers.emplace_back(this->loop, this->endpoint);
            this->callers.back().send(KeptCaller::get_request);
        }
        ::Test::run_until(this->loop, [this] { return this->waiting.size() == caller_count; });
        this->answer_all();
        ::Test::run_until(this->loop, [this] { return this->answers() == caller_count; });
        // What is left to do here after an answer has arrived there.
        this->loop.poll();
        this->taken_count = 0;
    }

    void send_all(std::string const& bytes)
    {
        for (auto& caller : this->callers)
            caller.send(bytes);
    }

    void answer_all()
    {
        for (auto const& exchange : this->waiting)
            exchange->answer(Http::Response(Http::Status::ok, Http::http_1_1));
        this->waiting.clear();
    }

    /// Serves until every caller has its further answer or has lost its connection, and what was queued by then is
    /// done.
    void serve_to_the_end()
    {
        ::Test::run_until(this->loop, [this] {
            this->answer_all();
            return std::ranges::all_of(
                this->callers, [](auto& caller) { return caller.answers() == 2 || caller.is_closed(); });
        });
        this->loop.poll();
    }

    /// Over all callers and requests.
    size_t answers()
    {
        size_t count = 0;
        for (auto& caller : this->callers)
            count += caller.answers();
        return count;
    }

    /// To requests sent after connect_callers().
    size_t further_answers() { return this->answers() - caller_count; }

    Http::asio::io_context loop;
    Http::tcp::endpoint endpoint { ::Test::free_endpoint() };
    std::shared_ptr<Http::CallerContext> context { std::make_shared<Http::CallerContext>() };
    std::optional<Http::CallerServer> server;
    std::list<KeptCaller> callers;
    std::vector<std::shared_ptr<Http::Exchange>> waiting;
    std::vector<Http::ConnectionClose> closes;
    size_t taken_count { 0 };
};

}

// Seen: lookups on kept connections were handed to backend servers, and their callers' connections closed in the same
// millisecond with no answer; the runs went on to their ends.
// How: a connection counted as one without a request until its request's body had completed. Its idle timer or the
// close of idle connections on a planned stop, whose turn came between head and body, closed it, and the body's
// completion, which was queued already, handed the request on. Proved by: this test, which lost all 15 requests either
// way; each close was told with phase=reading_body.
SCENARIO("a request on a kept connection is answered, or it is not taken")
{
    Fixture fixture;
    auto request = GENERATE(as<std::string> {}, KeptCaller::get_request, KeptCaller::post_request);
    INFO(request);

    GIVEN("a loop that stands still past the idle time-out of its connections, while requests come")
    {
        fixture.context->limits.idle_timeout = short_idle_timeout;
        fixture.connect_callers();
        fixture.send_all(request);
        stall_for(2 * short_idle_timeout);
        fixture.serve_to_the_end();
        THEN("every request that is taken is answered") { CHECK(fixture.taken_count == fixture.further_answers()); }
        THEN("a request that came in time is taken") { CHECK(fixture.taken_count == caller_count); }
    }
    GIVEN("a planned stop that closes idle connections at whatever turn of the loop")
    {
        fixture.connect_callers();
        auto turns_before_the_close = GENERATE(range(0, 4));
        INFO("turns for each caller before the close: " << turns_before_the_close);
        fixture.send_all(request);
        fixture.context->closing = true;
        for (size_t turn = 0; turn < static_cast<size_t>(turns_before_the_close) * caller_count; ++turn)
            fixture.loop.poll_one();
        fixture.server->close_idle_connections();
        fixture.serve_to_the_end();
        THEN("every request that is taken is answered") { CHECK(fixture.taken_count == fixture.further_answers()); }
        THEN("a request that came before the close is taken") { CHECK(fixture.taken_count == caller_count); }
    }
}
