/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/CallerFixture.h>
#include <Tests/LibHttp/ScriptedPeer.h>
#include <catch2/catch.hpp>

using namespace Http::Test;
using Http::CloseReason;

/// More than the socket buffers of a connection on loopback hold, so that the rest is queued in the process.
static constexpr size_t budget_bytes = 8 << 20;
static std::string const piece(64 << 10, 'x');
static constexpr size_t max_pieces = 2000;

/// Sends pieces of a stream until the caller's connection has to pause. Returns the number of pieces.
static size_t send_until_paused(Http::Exchange& exchange)
{
    size_t sent = 0;
    for (; sent < max_pieces && !exchange.must_pause(); ++sent)
        exchange.send_chunk(piece);
    return sent;
}

SCENARIO("callers that read slowly hold a bounded part of the host's memory")
{
    CallerFixture fixture;
    fixture.context->output_budget.emplace(budget_bytes);
    auto const& budget = *fixture.context->output_budget;
    fixture.connect_callers();
    fixture.send_all(PersistentCaller::get_request);
    fixture.wait_for_accepted(caller_count);
    auto& exchange = *fixture.waiting.front();
    exchange.begin_stream({});

    SECTION("a caller that reads nothing has to pause, and is not disconnected")
    {
        auto const sent = send_until_paused(exchange);
        CHECK(sent < max_pieces);
        CHECK(budget.used() <= budget_bytes);
        CHECK(fixture.closes.empty());

        SECTION("it gets everything once it reads")
        {
            bool has_read = false;
            exchange.wait_until_read([&] { has_read = true; });
            ::Test::run_until(fixture.loop, [&] {
                static_cast<void>(fixture.callers.front().bytes());
                return has_read;
            });
            exchange.end_stream();
            ::Test::run_until(fixture.loop, [&] { return fixture.callers.front().bytes().ends_with("0\r\n\r\n"); });
            CHECK(fixture.callers.front().bytes().size() > sent * piece.size());
            fixture.settle();
            CHECK(budget.used() == 0);
        }

        SECTION("the others are served meanwhile")
        {
            auto& other = *fixture.waiting.back();
            Http::Response response(Http::Status::ok, Http::http_1_1);
            response.body() = piece;
            other.respond(std::move(response));
            ::Test::run_until(fixture.loop, [&] { return fixture.callers.back().responses() == 2; });
        }

        SECTION("its bytes are released when it disconnects")
        {
            fixture.callers.pop_front();
            ::Test::run_until(fixture.loop, [&] { return !fixture.closes.empty(); });
            fixture.settle();
            CHECK(budget.used() == 0);
        }
    }

    SECTION("with complete responses beyond the budget, the slowest reader is disconnected, with its reason")
    {
        send_until_paused(exchange);
        Http::Response response(Http::Status::ok, Http::http_1_1);
        response.body() = std::string(2 * budget_bytes, 'y');
        fixture.waiting.back()->respond(std::move(response));
        ::Test::run_until(fixture.loop, [&] { return !fixture.closes.empty(); });
        CHECK(fixture.closes.front().reason == CloseReason::SlowestReader);
        CHECK(fixture.closes.front().phase == Http::ConnectionPhase::Responding);
        ::Test::run_until(fixture.loop, [&] {
            static_cast<void>(fixture.callers.back().bytes());
            return !budget.is_exceeded();
        });
    }

    SECTION("a caller with little unread keeps its response, even if it reads nothing")
    {
        std::string const small_piece(16 << 10, 's');
        // The sockets may still take what they did not take at first.
        auto const stays_unread = [&] {
            constexpr int rounds = 20;
            for (int i = 0; i < rounds && budget.used() > 0; ++i) {
                fixture.loop.restart();
                fixture.loop.run_one_for(10ms);
            }
            return budget.used() > 0;
        };
        while (!stays_unread())
            exchange.send_chunk(small_piece);
        REQUIRE(budget.used() <= Overload::OutputBudget::min_per_caller);
        Http::Response response(Http::Status::ok, Http::http_1_1);
        response.body() = std::string(2 * budget_bytes, 'y');
        fixture.waiting.back()->respond(std::move(response));
        ::Test::run_until(fixture.loop, [&] { return !fixture.closes.empty(); });
        CHECK(exchange.is_streaming());
        bool has_left = false;
        exchange.on_caller_disconnected([&] { has_left = true; });
        fixture.settle();
        CHECK_FALSE(has_left);
        CHECK(fixture.closes.size() == 1);
        exchange.end_stream();
        ::Test::run_until(fixture.loop, [&] { return fixture.callers.front().bytes().ends_with("0\r\n\r\n"); });
    }
}

SCENARIO("a backend server waits while its response is not read")
{
    Http::asio::io_context loop;
    ScriptedPeer peer(loop);
    peer.script("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'z'));
    auto connection = std::make_shared<Http::BackendConnection>(loop, peer.endpoint());
    std::string body;
    std::optional<Http::ExchangeEnd> end;
    Http::ExchangeObserver observer {
        [](Http::ResponseHead const&) { return Http::HeadAction::Accept; },
        [&](std::string_view received) {
            body += received;
            connection->pause();
        },
        [&](Http::ExchangeEnd how, std::string const&) { end = how; },
    };
    connection->exchange({ Http::Verb::get, "/", Http::http_1_1 }, std::move(observer), 1s, 3s);
    ::Test::run_until(loop, [&] { return !body.empty(); });
    loop.poll();
    CHECK_FALSE(end);
    CHECK(body.size() < 100'000);

    SECTION("it is read to the end after the pauses, complete and in order")
    {
        ::Test::run_until(loop, [&] {
            connection->resume();
            return end.has_value();
        });
        CHECK(*end == Http::ExchangeEnd::Complete);
        CHECK(body == std::string(100'000, 'z'));
    }

    SECTION("a paused exchange can be cancelled")
    {
        connection->cancel();
        connection->resume();
        loop.poll();
        CHECK_FALSE(end);
    }
}
