/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Suspicion.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

class SuspicionFixture {
public:
    SuspicionFixture()
        : context(this->loop, this->settings, this->log)
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->context.backend_unreachable
            = [this](Backend const&, Duration avoided) { this->announced.push_back(avoided); };
        BackendServer server;
        server.id = EngineId("e1");
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        this->backend = this->context.backends.update(server, this->now);
    }

    void receive_from(std::string const& host, u32 avoided_milliseconds = 250)
    {
        wire::HostUse message;
        auto& unreachable = *message.add_unreachable();
        unreachable.set_backend("e1");
        unreachable.set_avoided_milliseconds(avoided_milliseconds);
        apply_suspicions(this->context, MemberId(host), message);
    }

    [[nodiscard]] bool is_avoided() const { return this->backend->is_avoided(this->now); }

    Instant now { 100s };
    Http::asio::io_context loop;
    HostSettings settings;
    std::string log_text;
    Core::StructuredLog log { [this](std::string_view text) {
        this->log_text += text;
        return text.size();
    } };
    ServingContext context;
    BackendPointer backend;
    std::vector<Duration> announced;
};

}

SCENARIO("hosts announce backend servers that they cannot connect to")
{
    SuspicionFixture fixture;
    WHEN("this host cannot connect to one")
    {
        suspect(fixture.context, *fixture.backend, { true, "a1", "refused" });
        THEN("it avoids it and announces for how long")
        {
            CHECK(fixture.is_avoided());
            CHECK(fixture.announced == std::vector<Duration> { 250ms });
        }
    }
    WHEN("a request fails at one that can be connected to")
    {
        suspect(fixture.context, *fixture.backend, { false, "a1", "status 500" });
        THEN("nothing is announced") { CHECK(fixture.announced.empty()); }
    }
    WHEN("one other host cannot connect to it")
    {
        fixture.receive_from("host-2");
        fixture.receive_from("host-2");
        THEN("nothing changes here, since that host may itself be partitioned") { CHECK_FALSE(fixture.is_avoided()); }
        AND_WHEN("a second host cannot either")
        {
            fixture.receive_from("host-3");
            CHECK(fixture.is_avoided());
            fixture.log.flush();
            CHECK(fixture.log_text.find("E2308 backend_server_suspected subject=e1") != std::string::npos);
            THEN("it is avoided for the announced time")
            {
                fixture.now += 251ms;
                CHECK_FALSE(fixture.is_avoided());
            }
            THEN("a successful request of this host ends the avoidance")
            {
                record_success(*fixture.backend);
                CHECK_FALSE(fixture.is_avoided());
            }
        }
    }
    WHEN("two other hosts announce an excessive time")
    {
        fixture.receive_from("host-2", 3'600'000);
        fixture.receive_from("host-3", 3'600'000);
        fixture.now += 3s;
        CHECK_FALSE(fixture.is_avoided());
    }
    WHEN("another host announces an unknown backend server")
    {
        wire::HostUse message;
        message.add_unreachable()->set_backend("stranger");
        apply_suspicions(fixture.context, MemberId("host-2"), message);
        CHECK_FALSE(fixture.is_avoided());
    }
}

// Guards against a host that takes its own full link or late event loop for failures of the servers.
SCENARIO("a timeout of a connection is no evidence against a server while this host is overloaded")
{
    SuspicionFixture fixture;
    using Http::ExchangeEnd;
    CHECK_FALSE(is_own_delay(fixture.context, ExchangeEnd::ConnectTimedOut));

    WHEN("the event loop has been late for a moment")
    {
        for (int i = 0; i < 3; ++i) {
            fixture.now += 50ms;
            fixture.context.host_load.record({ 200ms, 0, 0, 0 }, fixture.now);
        }
        THEN("a timeout says nothing about the server")
        {
            CHECK(is_own_delay(fixture.context, ExchangeEnd::ConnectTimedOut));
        }
        THEN("a refused connection does") { CHECK_FALSE(is_own_delay(fixture.context, ExchangeEnd::NotConnected)); }
        AND_WHEN("it has been punctual for half a second")
        {
            fixture.context.host_load.record({ 0ms, 0, 0, 0 }, fixture.now);
            fixture.now += 500ms;
            THEN("a timeout counts again") { CHECK_FALSE(is_own_delay(fixture.context, ExchangeEnd::ConnectTimedOut)); }
        }
    }
}
