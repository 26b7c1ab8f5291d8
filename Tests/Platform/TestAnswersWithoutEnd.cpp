/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/ScriptedPeer.h>
#include <Tests/Platform/HostFixture.h>

using Http::Test::ScriptedPeer;
using Test::HostFixture;

static std::string signed_head(std::string const& attempt, std::string const& more)
{
    return "HTTP/1.1 200 OK\r\nLilactiller-Attempt-Id: " + attempt + "\r\nLilactiller-Response-Stamp: s\r\n" + more
        + "\r\n";
}

// Guards against servers in trouble that use up a host's memory, and with it the requests of all other callers: their
// answers are bytes without end.
SCENARIO("servers that answer without end harm nobody but their own callers")
{
    constexpr size_t faulty_count = 20;
    constexpr u64 megabyte = 1 << 20;
    HostFixture fixture;
    fixture.memory_bytes = 64 * megabyte;
    fixture.add_runner("lane-sound", "lanes");
    fixture.add_runner("engine-sound", "models");
    std::list<ScriptedPeer> peers;
    auto add_faulty = [&](std::string const& id, std::string const& service, std::string const& first,
                          std::string const& repeated) {
        auto& peer = peers.emplace_back(fixture.loop);
        peer.script_without_end(first, repeated);
        StandIns::PlatformRunner described(fixture.loop, Test::free_endpoint(), id);
        described.set_advertised_address(Test::text_of(peer.endpoint()));
        fixture.store.put("servers", id, described.row(service, "hall-a"));
    };
    auto const memory_of_collected = [&] {
        auto const text = fixture.metrics_text();
        auto const name = std::string("\ncollected_response_bytes ");
        return std::stod(text.substr(text.find(name) + name.size()));
    };

    GIVEN("many calls to servers of one service whose bodies have no end")
    {
        auto const body = GENERATE(as<std::string> {}, "Content-Length: 1000000000\r\n", "X-Length: none\r\n");
        INFO(body);
        for (size_t i = 0; i < faulty_count; ++i)
            add_faulty("stuck-" + std::to_string(i), "stuck", signed_head("", body), "no answer");
        fixture.put_configuration(7,
            R"(,{"name":"stuck","host":"tolls.example","path_prefix":"/stuck/","kind":"unsafe","timeout_ms":4000,)"
            R"("goal_ms":300,"priority":1,"service":"stuck","max_attempts":1,"public":false})",
            "null", R"(,{"name":"stuck","health_path":"/health","max_conns":50})");
        fixture.start_host();
        fixture.until([&] { return fixture.is_ready(); });
        std::vector<std::shared_ptr<Test::Call>> stuck;
        for (size_t i = 0; i < faulty_count; ++i)
            stuck.push_back(fixture.call(HostFixture::request("/stuck/1", "s" + std::to_string(i))));
        double most = 0;
        fixture.until([&] {
            most = std::max(most, memory_of_collected());
            return std::ranges::all_of(stuck, [](auto const& call) { return call->is_over(); });
        });
        THEN("each of their callers learns that the call may have run")
        {
            for (auto const& call : stuck)
                CHECK(call->status == 502);
        }
        THEN("what the host collects stays within an eighth of its memory, and a minimum for each call")
        {
            constexpr u64 min_per_call = 128 << 10;
            CHECK(most <= 8 * megabyte + faulty_count * min_per_call);
            CHECK(memory_of_collected() == 0);
        }
        THEN("other callers are served")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a1"))->status == 200);
        }
        THEN("the log names the reason") { CHECK(fixture.log_has("too_large")); }
    }
    GIVEN("an engine that streams bytes which are no events, or the same event, without end")
    {
        auto const junk
            = GENERATE(as<std::string> {}, "junk", "data: junk\n\n", ": comment\n\n", "id: 1\ndata: again\n\n");
        INFO(junk);
        fixture.put_configuration(7);
        fixture.store.remove("servers", "engine-sound");
        add_faulty("engine-stuck", "models", signed_head("g1", "Content-Type: text/event-stream\r\n"), junk);
        fixture.start_host();
        fixture.until([&] { return fixture.is_ready(); });
        auto stream = fixture.call(HostFixture::generation("g1"));
        fixture.until([&] { return stream->is_over(); });
        THEN("the stream ends, and does not look complete") { CHECK(stream->end != Http::ExchangeEnd::Complete); }
        THEN("its caller has got no more than one event may have")
        {
            CHECK(stream->body.size() <= 2 * Delivery::EventStreamReader::max_event_bytes);
        }
        THEN("other callers are served")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "a1"))->status == 200);
        }
    }
}
