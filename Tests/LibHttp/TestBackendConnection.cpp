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

SCENARIO("a connection holds no body of its own, and none longer than it takes to send")
{
    Http::asio::io_context loop;
    ScriptedPeer peer(loop);
    Http::ConnectionPool pool(loop);
    CollectedResponse collected;
    auto const body = std::make_shared<std::string const>(100'000, 'x');
    Http::RequestHead head;
    head.method(Http::Verb::post);
    head.target("/ask");
    head.version(Http::http_1_1);
    Http::OutgoingRequest request(head, body);
    request.message.prepare_payload();
    auto connection = pool.acquire(peer.endpoint());
    GIVEN("a peer that answers")
    {
        peer.script("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        connection->exchange(std::move(request), collected.observer(), 1s, 5s);
        CHECK(body.use_count() == 2);
        ::Test::run_until(loop, [&] { return collected.end.has_value() && body.use_count() == 1; });
        CHECK(collected.end == ExchangeEnd::Complete);
    }
    GIVEN("an exchange that is cancelled while the body is being sent")
    {
        connection->exchange(std::move(request), collected.observer(), 1s, 5s);
        loop.poll();
        connection->cancel();
        connection = nullptr;
        ::Test::run_until(loop, [&] { return body.use_count() == 1; });
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

// Guards against a host whose memory or processor is used up by a server that sends bytes which are no answer, without
// end, until the connection is closed.
SCENARIO("each part of an answer without end is cut off at a limit")
{
    struct Part {
        std::string name;
        std::string first;
        std::string repeated;
        u64 limit;
        /// The parser finds a fault before the limit is reached.
        bool is_malformed { false };
    };
    static std::string const chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr u64 max_body_bytes = 1 << 20;
    constexpr u64 max_line_bytes = 128 << 10;
    // Traffic counts each read of a small chunk as a packet.
    constexpr u64 max_chunk_traffic = 32 * max_body_bytes;
    auto const part = GENERATE(values<Part>({
        { "status line", "HTTP/1.1 200 ", "O", max_line_bytes },
        { "bytes that are no status line", "", "x", max_line_bytes, true },
        { "name of a field", "HTTP/1.1 200 OK\r\n", "X", max_line_bytes },
        { "value of a field", "HTTP/1.1 200 OK\r\nX-Field: ", "y", max_line_bytes },
        { "fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", max_line_bytes },
        { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", max_line_bytes },
        { "responses to earlier requests", "", "HTTP/1.1 200 OK\r\nX-For: earlier\r\nContent-Length: 3\r\n\r\nodd",
            max_line_bytes },
        { "body of a response to an earlier request", "HTTP/1.1 200 OK\r\nX-For: earlier\r\n\r\n", "odd",
            2 * max_body_bytes },
        { "body without a length", "HTTP/1.1 200 OK\r\nX-For: this\r\n\r\n", "z", 2 * max_body_bytes },
        { "chunks", "HTTP/1.1 200 OK\r\nX-For: this\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n",
            max_chunk_traffic },
        { "size of a chunk", chunked_head, "0", max_line_bytes },
        { "extension of a chunk", chunked_head + "5;", "e", max_line_bytes },
        { "trailers", chunked_head + "0\r\n", "X-Field: value\r\n", max_line_bytes },
        { "value of a trailer", chunked_head + "0\r\nX-Field: ", "t", max_line_bytes },
    }));
    INFO(part.name);
    Http::asio::io_context loop;
    ScriptedPeer peer(loop);
    peer.script_without_end(part.first, part.repeated);
    CollectedResponse collected;
    collected.skip_unless = "this";
    auto traffic = std::make_shared<Http::Traffic>();
    auto connection = std::make_shared<Http::BackendConnection>(loop, peer.endpoint(), traffic);
    connection->exchange(post(), collected.observer(), 1s, 5s, max_body_bytes);
    ::Test::run_until(loop, [&] { return collected.end.has_value(); });

    constexpr u64 max_in_one_read = 64 << 10;
    CHECK(collected.end == (part.is_malformed ? ExchangeEnd::Malformed : ExchangeEnd::TooLarge));
    CHECK(collected.body.size() <= max_body_bytes);
    CHECK(traffic->bytes_received <= part.limit + max_in_one_read);
    CHECK_FALSE(connection->is_reusable());
}
