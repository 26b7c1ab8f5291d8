/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/LibHttp/CallerFixture.h>
#include <catch2/catch.hpp>

using namespace Http::Test;

namespace {

/// Does something in the turn of the loop in which a byte arrives here, before what became ready later.
struct LoopHook {
    LoopHook(Http::asio::io_context& loop, std::function<void()> action)
        : acceptor(loop, { Http::asio::ip::address_v4::loopback(), 0 })
        , far(loop)
        , near(loop)
        , action(std::move(action))
    {
        this->far.connect(this->acceptor.local_endpoint());
        this->acceptor.accept(this->near);
        this->near.async_read_some(
            Http::asio::buffer(&this->byte, 1), [this](boost::system::error_code, size_t) { this->action(); });
        loop.poll();
    }

    void ring() { Http::asio::write(this->far, Http::asio::buffer("x", 1)); }

    Http::tcp::acceptor acceptor;
    Http::tcp::socket far;
    Http::tcp::socket near;
    std::function<void()> action;
    char byte { 0 };
};

}

SCENARIO("a caller that leaves is noticed")
{
    CallerFixture fixture;
    auto& caller = fixture.connect_caller();

    WHEN("it leaves between requests")
    {
        fixture.callers.clear();
        ::Test::run_until(fixture.loop, [&] { return !fixture.closes.empty(); });
        CHECK(fixture.closes[0].reason == Http::CloseReason::ClosedByCaller);
        CHECK(fixture.closes[0].phase == Http::ConnectionPhase::BetweenRequests);
    }
    WHEN("it leaves with a further request unread behind the one that is worked on")
    {
        bool is_told = false;
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_taken(2);
        fixture.waiting.front()->on_caller_disconnected([&] { is_told = true; });
        caller.send(PersistentCaller::get_request);
        fixture.settle();
        fixture.callers.clear();
        ::Test::run_until(fixture.loop, [&] { return is_told; });
        CHECK(fixture.closes[0].phase == Http::ConnectionPhase::Responding);
    }
    CHECK(fixture.context->open_requests == 0);
}

SCENARIO("what has its turn after a connection's close does not open it again")
{
    CallerFixture fixture;

    WHEN("an answer is written in the turn in which its caller has left")
    {
        auto& caller = fixture.connect_caller();
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_taken(2);
        LoopHook hook(fixture.loop, [&] { fixture.respond_to_all(); });
        hook.ring();
        fixture.callers.clear();
        fixture.settle();
        CHECK(fixture.server->open_connections() == 0);
        CHECK(fixture.closes.size() == 1);
    }
    WHEN("a new connection takes its place in the reactor while its last event is still queued")
    {
        fixture.context->limits.header_timeout = short_idle_timeout;
        PersistentCaller caller(fixture.loop, fixture.endpoint);
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_taken(1);
        auto exchange = fixture.waiting.front();
        fixture.waiting.clear();
        LoopHook hook(fixture.loop, [&] { exchange->abort(); });
        fixture.settle();
        hook.ring();
        PersistentCaller silent(fixture.loop, fixture.endpoint);
        caller.send("x");
        fixture.settle();
        THEN("the new one has no request, and is told nothing")
        {
            CHECK(fixture.context->open_requests == 0);
            ::Test::stall_for(2 * short_idle_timeout);
            fixture.settle();
            CHECK(silent.bytes().empty());
            CHECK_FALSE(silent.is_closed());
        }
    }
}

SCENARIO("a request whose time is over is refused and not taken, or taken and answered")
{
    CallerFixture fixture;
    auto& caller = fixture.connect_caller();
    auto is_refused = [&] { return caller.bytes().find("408") != std::string::npos; };

    WHEN("its body never comes")
    {
        fixture.context->limits.idle_timeout = short_idle_timeout;
        caller.send(PersistentCaller::post_head);
        ::Test::run_until(fixture.loop, [&] { return caller.is_closed(); });
        CHECK(is_refused());
        CHECK(fixture.accepted_count == 1);
    }
    WHEN("the rest of its head comes in the same turn of the loop as the end of its time")
    {
        // Of some of these lengths the first read leaves a rest, whose turn is after the refusal and before its end.
        std::string const padding(GENERATE(600, 1'200, 2'400), 'x');
        fixture.context->limits.header_timeout = short_idle_timeout;
        caller.send("GET /ask HTTP/1.1\r\n");
        fixture.settle();
        ::Test::stall_for(2 * short_idle_timeout);
        caller.send("Host: example\r\nX: " + padding + "\r\n\r\n");
        ::Test::run_until(fixture.loop, [&] {
            fixture.respond_to_all();
            return caller.responses() == 2 || caller.is_closed();
        });
        fixture.settle();
        CHECK(is_refused() == (fixture.accepted_count == 1));
    }
}

SCENARIO("a server that has stopped accepting serves those that came before")
{
    CallerFixture fixture;
    // The first is accepted in one turn with the stop, the second's accept is queued behind it, and the others have not
    // been looked at.
    constexpr size_t newcomer_count = 6;
    std::list<PersistentCaller> newcomers;
    for (size_t i = 0; i < newcomer_count; ++i) {
        newcomers.emplace_back(fixture.loop, fixture.endpoint);
        newcomers.back().send(PersistentCaller::get_request);
    }
    AK::Timer stop(fixture.loop, 1ms);
    stop.async_wait([&](boost::system::error_code) {
        fixture.server->stop_accepting();
        fixture.server->close_idle_connections(Http::CloseReason::PlannedStop);
    });
    ::Test::stall_for(2ms);
    ::Test::run_until(fixture.loop, [&] {
        fixture.respond_to_all();
        return std::ranges::all_of(
            newcomers, [](auto& caller) { return caller.responses() == 1 || caller.is_closed(); });
    });
    for (auto& caller : newcomers)
        CHECK(caller.responses() == 1);
}
