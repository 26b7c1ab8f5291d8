/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/ScriptedPeer.h>
#include <Tests/Platform/HostFixture.h>

using Http::Test::ScriptedPeer;
using Test::HostFixture;

namespace {

/// A host whose only server of each service sends preset bytes and closes.
struct TruncatingServer {
    explicit TruncatingServer(std::string const& service)
        : peer(fixture.loop)
    {
        StandIns::PlatformRunner described(this->fixture.loop, Test::free_endpoint(), "server");
        described.set_advertised_address(Test::text_of(this->peer.endpoint()));
        this->fixture.store.put("servers", "server", described.row(service, "hall-a"));
        this->fixture.start_ready_host();
    }

    HostFixture fixture;
    ScriptedPeer peer;
};

std::string head_of(std::string const& attempt, std::string const& more)
{
    return "HTTP/1.1 200 OK\r\nLilactiller-Attempt-Id: " + attempt + "\r\nLilactiller-Response-Stamp: s\r\n" + more
        + "\r\n";
}

}

// Guards against a caller that gets a 200 with an empty or short body, framed as whole, because a server stopped in the
// middle of its response's head and closed.
SCENARIO("a head that is cut anywhere is no success")
{
    auto const* informational = GENERATE("", "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n");
    GIVEN("a call")
    {
        TruncatingServer server("lanes");
        auto const text = informational + head_of("a1", "Content-Length: 6\r\nX-Last: field\r\n");
        for (size_t size = 0; size < text.size(); ++size) {
            server.peer.script(text.substr(0, size), ScriptedPeer::Then::Close);
            auto const call = server.fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
            INFO("cut after " << size << " bytes: " << text.substr(0, size));
            REQUIRE(call->status != 200);
            REQUIRE(call->has_begun());
        }
    }
    GIVEN("a generation")
    {
        TruncatingServer server("models");
        auto const text = informational
            + head_of("g1", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Last: field\r\n");
        for (size_t size = 0; size < text.size(); ++size) {
            server.peer.script(text.substr(0, size), ScriptedPeer::Then::Close);
            auto const call = server.fixture.finished_call(HostFixture::generation("g1"));
            INFO("cut after " << size << " bytes: " << text.substr(0, size));
            REQUIRE(call->status != 200);
            REQUIRE(call->has_begun());
        }
    }
}

// Guards against the same with a body that has no length: a reset is no end of it.
SCENARIO("a body without a length that is reset is no success")
{
    auto const* body = GENERATE("", "short");
    GIVEN("a call")
    {
        TruncatingServer server("lanes");
        server.peer.script(head_of("a1", "") + body, ScriptedPeer::Then::Reset);
        auto const call = server.fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
        CHECK(call->status != 200);
    }
    GIVEN("a generation")
    {
        TruncatingServer server("models");
        server.peer.script(head_of("g1", "Content-Type: text/event-stream\r\n") + body, ScriptedPeer::Then::Reset);
        auto const call = server.fixture.finished_call(HostFixture::generation("g1"));
        CHECK_FALSE((call->status == 200 && call->end == Http::ExchangeEnd::Complete));
    }
}
