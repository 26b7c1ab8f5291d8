/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/PersistentCaller.h>
#include <Tests/Platform/HostFixture.h>

using Http::Test::PersistentCaller;
using Test::HostFixture;

/// The parts of a prompt that take this many bytes or a few more.
static std::string prompt_parts(size_t bytes)
{
    std::string parts = "5c1e07a2:800";
    for (size_t i = 0; parts.size() < bytes; ++i)
        parts += ",part" + std::to_string(i) + ":1";
    return parts;
}

static std::string call_with(std::string const& attempt, std::string const& field)
{
    return "GET /lookup/2 HTTP/1.1\r\nHost: tolls.example\r\nLilactiller-Attempt-Id: " + attempt
        + "\r\nApi-Key: plaza-key\r\nLilactiller-Deadline-Ms: 3000\r\n" + field + "\r\n\r\n";
}

// Guards against a request within the limits in force that ends the process which reads it: the parser's own fields
// hold 65,533 bytes.
SCENARIO("a field that the parser's own fields cannot hold is passed on if the limits allow it")
{
    HostFixture fixture;
    fixture.max_header_bytes = 131'072;
    auto& server = fixture.add_runner("lanes-1", "lanes");
    fixture.start_ready_host();
    PersistentCaller caller(fixture.loop, fixture.callers_endpoint);

    GIVEN("a long list of prompt parts")
    {
        auto const bytes = GENERATE(65'530U, 65'533U, 65'534U, 65'540U, 78'643U, 120'000U);
        INFO(bytes << " bytes");
        auto const parts = prompt_parts(bytes);
        caller.send(call_with("c1", "Lilactiller-Prompt-Prefix: " + parts));
        fixture.until([&] { return caller.responses() == 1; });
        THEN("its server gets all of them, and the connection carries the next request")
        {
            REQUIRE(server.received().size() == 1);
            CHECK(server.received()[0].headers.at("Lilactiller-Prompt-Prefix") == parts);
            caller.send(call_with("c2", "X-Lane: 4"));
            fixture.until([&] { return caller.responses() == 2; });
            CHECK(server.received()[1].headers.count("Lilactiller-Prompt-Prefix") == 0);
        }
    }
    GIVEN("a long field that no one here knows")
    {
        caller.send(call_with("c1", "X-Note: " + std::string(70'000, 'n')));
        fixture.until([&] { return caller.responses() == 1; });
        CHECK(server.received()[0].headers.at("X-Note").size() == 70'000);
    }
    GIVEN("a long field that concerns the connection, or that callers may not set, or a long name")
    {
        auto const* name = GENERATE("Kv-From", "Lilactiller-Tenant", "Connection", "Priority", "Host",
            "Lilactiller-Attempt-Id", "X-Mine", "api-key");
        std::string const field = name == std::string_view("X-Mine")
            ? "Connection: keep-alive, x-mine\r\nX-Mine: " + std::string(70'000, 'v')
            : name + (": " + std::string(70'000, 'v'));
        INFO(name);
        caller.send(call_with("c1", field));
        fixture.until([&] { return !caller.bytes().empty(); });
        THEN("the request is refused, and no server gets it")
        {
            CHECK(caller.bytes().starts_with("HTTP/1.1 400 "));
            CHECK(server.received().empty());
        }
    }
    GIVEN("a name of 70 KB")
    {
        caller.send(call_with("c1", std::string(70'000, 'n') + ": v"));
        fixture.until([&] { return !caller.bytes().empty(); });
        CHECK(caller.bytes().starts_with("HTTP/1.1 400 "));
    }
    GIVEN("a field beyond the limit in force")
    {
        caller.send(call_with("c1", "X-Note: " + std::string(140'000, 'n')));
        fixture.until([&] { return !caller.bytes().empty(); });
        CHECK(caller.bytes().starts_with("HTTP/1.1 431 "));
    }
    THEN("the host serves on") { CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "c9"))->status == 200); }
}

// Guards against requests that end the process which passes them on.
SCENARIO("requests that a library's message cannot hold are refused")
{
    HostFixture fixture;
    auto& server = fixture.add_runner("lanes-1", "lanes");
    fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    PersistentCaller caller(fixture.loop, fixture.callers_endpoint);

    GIVEN("TRACE with a body")
    {
        caller.send("TRACE /lookup/2 HTTP/1.1\r\nHost: tolls.example\r\nLilactiller-Attempt-Id: t1\r\n"
                    "Api-Key: plaza-key\r\nContent-Length: 1\r\n\r\nx");
        fixture.until([&] { return !caller.bytes().empty(); });
        CHECK(caller.bytes().starts_with("HTTP/1.1 400 "));
        CHECK(server.received().empty());
    }
    GIVEN("a deadline that overflows")
    {
        auto const* deadline = GENERATE("9223372036854775807", "9300000000000000", "31536000000");
        auto request = HostFixture::request("/lookup/1", "d1");
        request.set("Lilactiller-Deadline-Ms", deadline);
        CHECK(fixture.finished_call(std::move(request))->status == 200);
    }
    GIVEN("numbers of tokens that overflow")
    {
        auto request = HostFixture::generation("g1");
        request.set("Lilactiller-Token-Usage", "9223372036854775807,9223372036854775807");
        request.set("Length-Hint", "-9223372036854775808");
        auto const call = fixture.finished_call(std::move(request));
        CHECK(call->status == 400);
    }
    THEN("the host serves on") { CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "c9"))->status == 200); }
}

namespace {

/// Throws while it prepares the dispatch of one certain call.
struct ThrowingDialect : Adapter::Dialect {
    static void prepare_dispatch(Http::Fields& fields, Serving::DispatchHead const& dispatch)
    {
        if (fields["Lilactiller-Attempt-Id"] == "bad")
            throw std::length_error("too long for a container");
        Adapter::Dialect::prepare_dispatch(fields, dispatch);
    }
};

struct ThrowingPlatform : Adapter::UsersPlatform {
    using Dialect = ThrowingDialect;
};

}

SCENARIO("an exception ends its own request")
{
    HostFixture fixture;
    fixture.add_runner("lanes-1", "lanes");
    fixture.put_configuration(7);
    std::string log_text;
    Core::StructuredLog log([&](std::string_view text) {
        log_text += text;
        return text.size();
    });
    Serving::Host<ThrowingPlatform> host(fixture.loop, fixture.settings(), log, [&] { return fixture.settings(); });
    host.start();
    fixture.until([&] { return fixture.is_ready(); });
    auto log_has = [&](std::string const& text) {
        log.flush();
        return log_text.find(text) != std::string::npos;
    };

    WHEN("the dispatch of a request throws")
    {
        CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "bad"))->status == 500);
        THEN("the log names it, and others are served")
        {
            CHECK(log_has("event=E1010 handler_failed subject=bad"));
            CHECK(fixture.metrics_text().find("handler_exceptions_total 1") != std::string::npos);
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "good"))->status == 200);
        }
    }
    WHEN("another handler of the event loop throws")
    {
        fixture.loop.restart();
        Http::asio::post(fixture.loop, [] { throw std::out_of_range("no such entry"); });
        Http::asio::post(fixture.loop, [&] { fixture.loop.stop(); });
        host.run();
        THEN("the loop goes on")
        {
            CHECK(log_has("event=E1010 handler_failed subject=none"));
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "good"))->status == 200);
        }
    }
}
