/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/ServerPace.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <limits>

using namespace Serving;

namespace {

EngineId const engine("lane-1");
ServiceName const service("lanes");

/// A host that knows one engine.
class ObservingHost {
public:
    ObservingHost()
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->context.paces_changed = [this] { ++this->announcements; };
        this->add_engine(7);
    }

    void add_engine(i64 start)
    {
        BackendServer server;
        server.id = engine;
        server.start = ServerStart(start);
        server.service = service;
        server.address = Address("127.0.0.1:1000");
        this->backend = this->context.backends.update(server, this->now);
    }
    void receive_load(std::optional<double> slowness)
    {
        LoadReport load { 1, 0, 8 };
        if (slowness)
            load.slowness = Overload::Slowness(*slowness);
        record_load(this->context, *this->backend, load);
    }
    void receive_events(u32 count, Duration gap)
    {
        for (u32 i = 0; i < count; ++i) {
            this->now += gap;
            observe_event_gap(this->context, *this->backend, this->gaps, gap);
        }
    }
    [[nodiscard]] wire::HostUse unsent(Overload::PaceScope scope = Overload::PaceScope::Host)
    {
        wire::HostUse message;
        put_unsent_server_paces(message, this->context, scope);
        return message;
    }
    void receive(wire::HostUse const& message) { apply_server_paces(this->context, message); }
    [[nodiscard]] bool knows_interval(Duration expected) const
    {
        auto const& interval = this->backend->pace.event_interval;
        return interval && *interval > expected * 0.9 && *interval < expected * 1.1;
    }
    [[nodiscard]] u64 counter(std::string const& name) const { return this->context.metrics.counter(name); }

    Instant now { 100s };
    BackendPointer backend;
    Overload::EventGaps gaps;
    u32 announcements { 0 };

private:
    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };

public:
    ServingContext context { this->loop, this->settings, this->log };
};

wire::HostUse message_with(u32 event_microseconds, i64 start = 7)
{
    wire::HostUse message;
    auto& entry = *message.add_paces();
    entry.set_backend(engine.value());
    entry.set_start(start);
    entry.set_event_interval_microseconds(event_microseconds);
    return message;
}

}

SCENARIO("speeds are observed only of services whose servers report their slowness")
{
    ObservingHost host;
    GIVEN("a server that reports no slowness")
    {
        host.receive_load({});
        host.receive_events(10, 36ms);
        THEN("nothing is observed, told or considered")
        {
            CHECK(host.context.slowness_of_services.empty());
            CHECK(host.backend->pace == Overload::EnginePace {});
            CHECK_FALSE(host.backend->slowness);
            CHECK(host.unsent().paces_size() == 0);
            CHECK(host.announcements == 0);
        }
    }
    GIVEN("a server that reports its slowness")
    {
        host.receive_load(0.5);
        THEN("its first report is taken as its usual one")
        {
            CHECK(host.backend->slowness->slowness == Overload::usual_slowness);
            CHECK(host.backend->lasting_slowness() == Overload::Slowness(0.5));
        }
        AND_WHEN("it reports a longer time")
        {
            host.receive_load(1.25);
            THEN("its slowness is relative to its usual report")
            {
                CHECK(host.backend->slowness->slowness == Overload::Slowness(2.5));
                CHECK(host.context.slowness_of_services.at(service).share_above(Overload::Slowness(2)) == 0.5);
            }
        }
        AND_WHEN("its events arrive")
        {
            host.now += 1s;
            host.receive_events(3, 36ms);
            THEN("its speed is known and announced")
            {
                CHECK(host.knows_interval(36ms));
                CHECK(host.announcements == 1);
            }
        }
        AND_WHEN("its events arrive while it is cold")
        {
            host.now += 1s;
            host.backend->cold_until = host.now + 10s;
            host.receive_events(3, 90ms);
            THEN("they tell nothing of its lasting speed") { CHECK_FALSE(host.backend->pace.event_interval); }
        }
    }
}

SCENARIO("hosts tell each other the speeds of engines")
{
    ObservingHost host;
    ObservingHost other;
    host.receive_load(1);
    host.receive_events(3, 36ms);
    auto const message = host.unsent();
    REQUIRE(message.paces_size() == 1);
    GIVEN("a host that receives it")
    {
        other.receive(message);
        CHECK(other.knows_interval(36ms));
        WHEN("the message is repeated, and an impossible one arrives")
        {
            other.receive(message);
            other.receive(message_with(1));
            other.receive(message_with(std::numeric_limits<u32>::max()));
            THEN("nothing changes, and the impossible values are counted")
            {
                CHECK(other.knows_interval(36ms));
                CHECK(other.counter("server_paces_rejected_total") == 2);
            }
        }
        WHEN("the engine has been replaced")
        {
            other.add_engine(8);
            CHECK_FALSE(other.knows_interval(36ms));
            THEN("a late message about the earlier start is ignored")
            {
                other.receive(message);
                CHECK(other.backend->pace == Overload::EnginePace {});
                CHECK(other.counter("server_paces_ignored_total") == 1);
            }
        }
        THEN("it tells other domains, but not its own")
        {
            CHECK(other.unsent(Overload::PaceScope::Host).paces_size() == 0);
            CHECK(other.unsent(Overload::PaceScope::Domain).paces_size() == 1);
        }
    }
    GIVEN("a message that has the server's last report")
    {
        other.receive_load(1);
        other.now += 1s;
        auto slow = message_with(36'000);
        slow.mutable_paces(0)->set_slowness_percent(250);
        slow.mutable_paces(0)->set_slowness_age_milliseconds(50);
        auto const before = other.now;
        other.receive(slow);
        CHECK(other.backend->slowness->slowness == Overload::Slowness(2.5));
        CHECK(other.backend->slowness->observed_at > before - 50ms);
        CHECK(other.backend->slowness->observed_at <= other.now - 50ms);
        WHEN("a later report is known")
        {
            other.receive_load(1);
            other.receive(slow);
            THEN("the message changes nothing")
            {
                CHECK(other.backend->slowness->slowness == Overload::usual_slowness);
            }
        }
        WHEN("an impossible value arrives")
        {
            slow.mutable_paces(0)->set_slowness_percent(1);
            other.receive(slow);
            THEN("it is dropped and counted")
            {
                CHECK(other.backend->slowness->slowness == Overload::Slowness(2.5));
                CHECK(other.counter("server_paces_rejected_total") == 1);
            }
        }
    }
    GIVEN("a host of another domain")
    {
        auto domain_message = message;
        domain_message.set_domain_speaker("10.0.0.1:1");
        other.receive(domain_message);
        CHECK(other.knows_interval(36ms));
        THEN("it tells nobody")
        {
            CHECK(other.unsent(Overload::PaceScope::Host).paces_size() == 0);
            CHECK(other.unsent(Overload::PaceScope::Domain).paces_size() == 0);
        }
    }
    GIVEN("a host that starts later")
    {
        wire::HostUse answer;
        host.now += 1min;
        put_recent_server_paces(answer, host.context, Overload::PaceScope::Host);
        CHECK(answer.paces_size() == 0);
        put_all_server_paces(answer, host.context);
        other.receive(answer);
        THEN("it gets all that the other host has observed") { CHECK(other.knows_interval(36ms)); }
    }
    GIVEN("a message about an engine that is not on the list")
    {
        auto unknown = message_with(36'000);
        unknown.mutable_paces(0)->set_backend("lane-9");
        other.receive(unknown);
        THEN("it is ignored") { CHECK(other.counter("server_paces_ignored_total") == 1); }
    }
    GIVEN("an engine that is removed and forgotten")
    {
        host.context.backends.remove(engine, host.now);
        host.context.backends.expire_removed(host.now + 1h);
        drop_removed_server_paces(host.context);
        THEN("nothing is kept of it") { CHECK(host.context.paces.count() == 0); }
    }
}
