/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerServer.h>
#include <Tests/LibHttp/KeptCaller.h>
#include <Tests/Support/DescriptorLimit.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <catch2/catch.hpp>
#include <list>

using Http::Test::KeptCaller;

namespace {

/// As many as were lost together when it was seen.
constexpr size_t caller_count = 15;
constexpr Duration short_idle_timeout = 40ms;

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

    void wait_for_taken(size_t count)
    {
        ::Test::run_until(this->loop, [this, count] { return this->taken_count == count; });
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
//
// How: a connection counted as one without a request until its request's body had completed. Its idle timer or the
// close of idle connections on a planned stop, whose turn came between head and body, closed it, and the body's
// completion, which was queued already, handed the request on.
//
// Proved by: this test, which lost all 15 requests either way.
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
        ::Test::stall_for(2 * short_idle_timeout);
        fixture.serve_to_the_end();
        THEN("every request that is taken is answered") { CHECK(fixture.taken_count == fixture.further_answers()); }
        THEN("a request that came in time is taken") { CHECK(fixture.taken_count == caller_count); }
    }
    GIVEN("requests that come between the loop's look at its sockets and the turns of its timers")
    {
        fixture.context->limits.idle_timeout = short_idle_timeout;
        fixture.connect_callers();
        Http::asio::steady_timer earlier(fixture.loop, short_idle_timeout / 2);
        earlier.async_wait([&](boost::system::error_code) { fixture.send_all(request); });
        ::Test::stall_for(2 * short_idle_timeout);
        fixture.serve_to_the_end();
        THEN("they are taken and answered")
        {
            CHECK(fixture.taken_count == caller_count);
            CHECK(fixture.further_answers() == caller_count);
        }
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

SCENARIO("a connection is closed without an answer between requests only")
{
    Fixture fixture;
    fixture.connect_callers();
    auto& caller = fixture.callers.front();
    auto is_told = [&](Http::CloseReason reason) {
        return std::ranges::any_of(fixture.closes, [&](auto const& close) {
            return close.reason == reason && close.phase == Http::ConnectionPhase::BetweenRequests;
        });
    };

    WHEN("it has been idle for too long")
    {
        // Not those that are waiting: a time-out holds from the request before.
        fixture.context->limits.idle_timeout = short_idle_timeout;
        caller.send(KeptCaller::get_request);
        fixture.wait_for_taken(1);
        fixture.answer_all();
        ::Test::run_until(fixture.loop, [&] { return caller.is_closed(); });
        CHECK(is_told(Http::CloseReason::Idle));
        CHECK(fixture.server->open_connections() == caller_count - 1);
    }
    WHEN("a planned stop closes idle connections while a request's body is still due")
    {
        caller.send(KeptCaller::post_head);
        fixture.loop.poll();
        fixture.context->closing = true;
        fixture.server->close_idle_connections();
        THEN("only that one stays open, and counts as a request under way")
        {
            CHECK(fixture.server->open_connections() == 1);
            CHECK(fixture.context->open_requests == 1);
            CHECK(is_told(Http::CloseReason::PlannedStop));
        }
        THEN("its request is answered when the body has come, and the connection ends with that")
        {
            caller.send(KeptCaller::post_body);
            fixture.serve_to_the_end();
            CHECK(caller.answers() == 2);
            ::Test::run_until(fixture.loop, [&] { return caller.is_closed(); });
            CHECK(fixture.server->open_connections() == 0);
            CHECK(fixture.context->open_requests == 0);
        }
    }
    WHEN("the rest of a head does not come")
    {
        fixture.context->limits.header_timeout = short_idle_timeout;
        caller.send("GET /ask HTT");
        ::Test::run_until(fixture.loop, [&] { return caller.is_closed(); });
        THEN("the caller is told that its request has not run")
        {
            CHECK(caller.bytes().find("408") != std::string::npos);
        }
    }
    WHEN("a body comes in the same turn of the loop as the end of its time")
    {
        // Of some of these lengths the first read leaves a rest, whose turn is after the refusal and before its end.
        std::string const long_body(GENERATE(600, 800, 1'200, 1'600, 2'400, 4'000), 'x');
        fixture.context->limits.idle_timeout = short_idle_timeout;
        caller.send(KeptCaller::head_of_post(long_body.size()));
        fixture.loop.poll();
        ::Test::stall_for(2 * short_idle_timeout);
        caller.send(long_body);
        ::Test::run_until(fixture.loop, [&] {
            fixture.answer_all();
            return caller.answers() == 2 || caller.is_closed();
        });
        fixture.loop.poll();
        THEN("it is taken and answered, or refused and not taken")
        {
            bool const is_refused = caller.bytes().find("408") != std::string::npos;
            CHECK(is_refused == (fixture.taken_count == 0));
        }
    }
}

SCENARIO("whoever works on a request is told when its connection ends")
{
    Fixture fixture;
    fixture.connect_callers();
    auto& caller = fixture.callers.front();
    caller.send(KeptCaller::post_request);
    fixture.wait_for_taken(1);
    bool is_told = false;
    auto exchange = fixture.waiting.front();
    exchange->on_caller_left([&] { is_told = true; });

    WHEN("the caller has left")
    {
        fixture.callers.pop_front();
        ::Test::run_until(fixture.loop, [&] { return is_told; });
        CHECK_FALSE(exchange->is_open());
    }
    WHEN("more bytes wait for the caller than may")
    {
        fixture.context->limits.body_bytes = 0;
        exchange->begin_stream({});
        std::string const piece(64 << 10, 'x');
        // A socket's buffers take a few megabytes; what is beyond them waits here.
        for (size_t i = 0; i < 1000 && !is_told; ++i)
            exchange->send_piece(piece);
        CHECK(is_told);
        CHECK(fixture.closes.back().reason == Http::CloseReason::TooMuchWaiting);
    }
    WHEN("its own work ends it")
    {
        exchange->abort();
        THEN("it is told nothing that it knows") { CHECK_FALSE(is_told); }
        CHECK(fixture.closes.back().reason == Http::CloseReason::Aborted);
    }
    CHECK(fixture.context->open_requests == 0);
}

SCENARIO("a connection that was accepted as the server stopped accepting is served")
{
    Fixture fixture;
    // The second one is accepted by the turn that serves the first, and has its own turn after the acceptor's close.
    KeptCaller first(fixture.loop, fixture.endpoint);
    KeptCaller second(fixture.loop, fixture.endpoint);
    second.send(KeptCaller::get_request);
    Http::asio::steady_timer stop(fixture.loop, 1ms);
    stop.async_wait([&](boost::system::error_code) { fixture.server->stop_accepting(); });
    ::Test::stall_for(2ms);
    ::Test::run_until(fixture.loop, [&] {
        fixture.answer_all();
        return second.answers() == 1 || second.is_closed();
    });
    CHECK(second.answers() == 1);
}

SCENARIO("a caller is told until when it may use its connection again")
{
    Fixture fixture;
    fixture.context->limits.idle_timeout = 15s;
    fixture.connect_callers();
    auto& caller = fixture.callers.front();
    WHEN("it stays open") { CHECK(caller.bytes().find("Keep-Alive: timeout=14\r\n") != std::string::npos); }
    WHEN("it ends with the answer")
    {
        fixture.context->closing = true;
        caller.send(KeptCaller::get_request);
        fixture.serve_to_the_end();
        CHECK(caller.bytes().find("Connection: close\r\n") != std::string::npos);
    }
}

SCENARIO("a new caller is served when idle ones hold all descriptors")
{
    Fixture fixture;
    fixture.connect_callers();
    // One more for the caller's side; none is left for the server's.
    KeptCaller newcomer(fixture.loop, fixture.endpoint);
    ::Test::DescriptorLimit const limit(::Test::descriptors_in_use());
    newcomer.send(KeptCaller::get_request);
    ::Test::run_until(fixture.loop, [&] {
        fixture.answer_all();
        return newcomer.answers() == 1;
    });
    CHECK(fixture.closes.size() == caller_count);
}
