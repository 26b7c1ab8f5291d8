/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/ConnectionPool.h>
#include <Tests/LibHttp/ScriptedPeer.h>
#include <catch2/catch.hpp>

using Http::ExchangeEnd;
using Http::HeadAction;
using Http::Test::CollectedResponse;
using Http::Test::ScriptedPeer;

static Http::Request post(std::string body = "question")
{
    Http::Request request(Http::Verb::post, "/ask", 11);
    request.set(Http::Name::host, "example");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

SCENARIO("what a backend server answers is told from what it does not")
{
    Http::asio::io_context loop;
    ScriptedPeer peer(loop);
    Http::ConnectionPool pool(loop);
    CollectedResponse collected;

    auto run_exchange = [&](std::shared_ptr<Http::BackendConnection> const& connection) {
        connection->exchange(post(), collected.observer(), 1s, 5s);
        ::Test::run_until(loop, [&] { return collected.end.has_value(); });
    };

    GIVEN("a response with a length")
    {
        peer.script("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        auto connection = pool.acquire(peer.endpoint());
        run_exchange(connection);
        CHECK(collected.end == ExchangeEnd::Complete);
        CHECK(collected.body == "hello");
        THEN("the connection is reusable") { CHECK(connection->is_reusable()); }
    }
    GIVEN("bytes after a complete response")
    {
        peer.script("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd");
        auto connection = pool.acquire(peer.endpoint());
        run_exchange(connection);
        CHECK(collected.end == ExchangeEnd::Complete);
        CHECK(collected.body == "hello");
        THEN("the connection is not reusable") { CHECK_FALSE(connection->is_reusable()); }
    }
    GIVEN("a response to an earlier request before its own")
    {
        peer.script("HTTP/1.1 200 OK\r\nX-For: earlier\r\nContent-Length: 3\r\n\r\nodd"
                    "HTTP/1.1 200 OK\r\nX-For: this\r\nContent-Length: 5\r\n\r\nhello");
        collected.skip_unless = "this";
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end == ExchangeEnd::Complete);
        CHECK(collected.body == "hello");
    }
    GIVEN("an informational response before the final one")
    {
        peer.script("HTTP/1.1 103 Early Hints\r\nX-For: this\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end == ExchangeEnd::Complete);
        CHECK(collected.status == 200);
        CHECK(collected.body == "hello");
    }
    GIVEN("a response without a length that ends when the connection closes")
    {
        peer.script("HTTP/1.1 200 OK\r\n\r\nhello", ScriptedPeer::Then::Close);
        auto connection = pool.acquire(peer.endpoint());
        run_exchange(connection);
        CHECK(collected.end == ExchangeEnd::Complete);
        CHECK(collected.body == "hello");
        CHECK_FALSE(connection->is_reusable());
    }
    GIVEN("a response without a length whose connection is reset")
    {
        peer.script("HTTP/1.1 200 OK\r\n\r\nhello", ScriptedPeer::Then::Reset);
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end != ExchangeEnd::Complete);
    }
    GIVEN("a truncated response")
    {
        peer.script("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", ScriptedPeer::Then::Close);
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end == ExchangeEnd::Truncated);
    }
    GIVEN("bytes that are not an HTTP response")
    {
        peer.script("no answer at all\r\n\r\n");
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end == ExchangeEnd::Malformed);
    }
    GIVEN("a close without a response")
    {
        peer.script("", ScriptedPeer::Then::Close);
        run_exchange(pool.acquire(peer.endpoint()));
        CHECK(collected.end == ExchangeEnd::NoResponse);
    }
    GIVEN("no listener at the address")
    {
        auto endpoint = peer.endpoint();
        peer.stop();
        run_exchange(pool.acquire(endpoint));
        CHECK(collected.end == ExchangeEnd::NotConnected);
    }
    GIVEN("an observer that cancels the exchange during its own call and holds the last reference to itself")
    {
        peer.script("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
        auto connection = pool.acquire(peer.endpoint());
        auto owner = std::make_shared<std::string>("alive");
        bool was_alive_after_cancel = false;
        std::weak_ptr<std::string> watch = owner;
        Http::ExchangeObserver observer {
            [](Http::ResponseHead const&) { return HeadAction::Accept; },
            [owner, connection, &watch, &was_alive_after_cancel](std::string_view) {
                // Copied out of the closure first, which must not be accessed once it is destroyed.
                auto& still_watched = watch;
                auto& verdict = was_alive_after_cancel;
                auto kept = connection;
                kept->cancel();
                verdict = !still_watched.expired();
            },
            [](ExchangeEnd, std::string const&) { FAIL("a cancelled exchange must not call its observer"); },
        };
        owner = nullptr;
        connection->exchange(post(), std::move(observer), 1s, 5s);
        ::Test::run_until(loop, [&] { return watch.expired(); });
        CHECK(was_alive_after_cancel);
        CHECK(watch.expired());
    }
}

SCENARIO("the pool returns idle connections only while they are reusable")
{
    Http::asio::io_context loop;
    ScriptedPeer peer(loop);
    Http::ConnectionPool pool(loop);
    CollectedResponse collected;
    peer.script("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    auto first = pool.acquire(peer.endpoint());
    first->exchange(post(), collected.observer(), 1s, 5s);
    ::Test::run_until(loop, [&] { return collected.end.has_value(); });
    REQUIRE(collected.end == ExchangeEnd::Complete);
    pool.release(first);

    WHEN("nothing has happened since") { CHECK(pool.acquire(peer.endpoint()) == first); }
    WHEN("the peer has closed it")
    {
        peer.close_connections();
        ::Test::run_until(loop, [&] { return !first->is_reusable(); });
        CHECK(pool.acquire(peer.endpoint()) != first);
    }
}
