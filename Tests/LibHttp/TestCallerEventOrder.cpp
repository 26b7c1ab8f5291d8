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

/// Runs an action in the event loop iteration in which a byte arrives on its own connection, before handlers that
/// become ready later.
struct LoopHook {
    LoopHook(Http::asio::io_context& loop, std::function<void()> action)
        : acceptor(loop, { Http::asio::ip::address_v4::loopback(), 0 })
        , sender(loop)
        , receiver(loop)
        , action(std::move(action))
    {
        this->sender.connect(this->acceptor.local_endpoint());
        this->acceptor.accept(this->receiver);
        this->receiver.async_read_some(
            Http::asio::buffer(&this->byte, 1), [this](boost::system::error_code, size_t) { this->action(); });
        loop.poll();
    }

    void trigger() { Http::asio::write(this->sender, Http::asio::buffer("x", 1)); }

    Http::tcp::acceptor acceptor;
    Http::tcp::socket sender;
    Http::tcp::socket receiver;
    std::function<void()> action;
    char byte { 0 };
};

}

SCENARIO("a caller that leaves is noticed")
{
    CallerFixture fixture;
    auto& caller = fixture.connect_caller();

    WHEN("it disconnects between requests")
    {
        fixture.callers.clear();
        ::Test::run_until(fixture.loop, [&] { return !fixture.closes.empty(); });
        CHECK(fixture.closes[0].reason == Http::CloseReason::ClosedByCaller);
        CHECK(fixture.closes[0].phase == Http::ConnectionPhase::BetweenRequests);
    }
    WHEN("it disconnects with another request unread behind the one in progress")
    {
        bool is_notified = false;
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_accepted(2);
        fixture.waiting.front()->on_caller_disconnected([&] { is_notified = true; });
        caller.send(PersistentCaller::get_request);
        fixture.settle();
        fixture.callers.clear();
        ::Test::run_until(fixture.loop, [&] { return is_notified; });
        CHECK(fixture.closes[0].phase == Http::ConnectionPhase::Responding);
    }
    CHECK(fixture.context->open_requests == 0);
}

SCENARIO("a handler that runs after the close of a connection does not reopen it")
{
    CallerFixture fixture;

    WHEN("a response is written in the event loop iteration in which its caller has disconnected")
    {
        auto& caller = fixture.connect_caller();
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_accepted(2);
        LoopHook hook(fixture.loop, [&] { fixture.respond_to_all(); });
        hook.trigger();
        fixture.callers.clear();
        fixture.settle();
        CHECK(fixture.server->open_connections() == 0);
        CHECK(fixture.closes.size() == 1);
    }
    WHEN("a new connection reuses its reactor entry while its last event is still queued")
    {
        fixture.context->limits.header_timeout = short_idle_timeout;
        PersistentCaller caller(fixture.loop, fixture.endpoint);
        caller.send(PersistentCaller::get_request);
        fixture.wait_for_accepted(1);
        auto exchange = fixture.waiting.front();
        fixture.waiting.clear();
        LoopHook hook(fixture.loop, [&] { exchange->abort(); });
        fixture.settle();
        hook.trigger();
        PersistentCaller silent(fixture.loop, fixture.endpoint);
        caller.send("x");
        fixture.settle();
        THEN("the new connection has no request and receives nothing")
        {
            CHECK(fixture.context->open_requests == 0);
            ::Test::stall_for(2 * short_idle_timeout);
            fixture.settle();
            CHECK(silent.bytes().empty());
            CHECK_FALSE(silent.is_closed());
        }
    }
}

SCENARIO("a request that times out is rejected and not accepted, or accepted and gets a response")
{
    CallerFixture fixture;
    auto& caller = fixture.connect_caller();
    auto is_rejected = [&] { return caller.bytes().find("408") != std::string::npos; };

    WHEN("its body never arrives")
    {
        fixture.context->limits.idle_timeout = short_idle_timeout;
        caller.send(PersistentCaller::post_head);
        ::Test::run_until(fixture.loop, [&] { return caller.is_closed(); });
        CHECK(is_rejected());
        CHECK(fixture.accepted_count == 1);
    }
    WHEN("the rest of its head arrives in the same event loop iteration in which it times out")
    {
        // With some of these lengths, the first read leaves a remainder that is read after the rejection was queued and
        // before it was sent.
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
        CHECK(is_rejected() == (fixture.accepted_count == 1));
    }
}

SCENARIO("a server that has stopped accepting serves those that came before")
{
    CallerFixture fixture;
    // The first connection is accepted in the same event loop iteration as the stop. The accept of the second is queued
    // behind it. The others are still in the backlog.
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
