/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/HostLoad.h>
#include <catch2/catch.hpp>
#include <list>

using Overload::HostLoad;
using Overload::StreamOnHost;

namespace {

constexpr Duration tick = 50ms;
/// 10 Mbit/s.
constexpr double narrow_link = 1.25e6;
/// One event of four tokens with its headers.
constexpr size_t event_bytes = 450;
/// An engine makes one in this time.
constexpr Duration event_period = 50ms;

/// A host that carries streams and calls. Both are as large in both directions.
class LoadedHost {
public:
    explicit LoadedHost(double link_bytes_per_second = narrow_link)
        : load(link_bytes_per_second)
    {
        this->load.set_latency_goal(100ms);
    }

    void run_for(Duration span)
    {
        for (Duration passed { 0 }; passed < span; passed += tick) {
            this->now += tick;
            for (auto& stream : this->streams) {
                stream.record_event(event_bytes);
                this->bytes += event_bytes;
            }
            this->bytes += static_cast<u64>(this->call_bytes_per_second * AK::to_seconds(tick));
            this->requests += this->requests_per_tick;
            this->load.record({ this->lateness, this->bytes, this->bytes, this->requests }, this->now);
        }
    }

    /// Adds streams until the host refuses one, or there are this many.
    size_t admit(size_t most)
    {
        size_t admitted = 0;
        for (; admitted < most && this->load.has_link_for_stream(); ++admitted)
            this->streams.emplace_back(this->load);
        return admitted;
    }

    Instant now { 100s };
    HostLoad load;
    std::list<StreamOnHost> streams;
    double call_bytes_per_second { 0 };
    Duration lateness { 0 };
    u64 requests_per_tick { 2 };
    u64 bytes { 0 };
    u64 requests { 0 };
};

}

SCENARIO("a host admits the streams that its link can carry")
{
    LoadedHost host;
    constexpr size_t ordinary = 4;
    host.admit(ordinary);
    host.run_for(1s);
    auto const rate = static_cast<double>(event_bytes) / AK::to_seconds(event_period);
    auto const streams_of_link = static_cast<size_t>(narrow_link / rate);

    WHEN("callers send far more of them than the link carries, all at once")
    {
        auto const admitted = ordinary + host.admit(10 * streams_of_link);
        THEN("more than half of the link is filled, before one of them has sent an event")
        {
            CHECK(admitted > streams_of_link / 2);
            CHECK(admitted < streams_of_link * 3 / 4);
        }
        AND_WHEN("they flow")
        {
            host.run_for(1s);
            THEN("the host is not overloaded, and admits no more")
            {
                CHECK_FALSE(host.load.is_overloaded());
                CHECK(host.admit(streams_of_link) <= 1);
            }
        }
        AND_WHEN("they end")
        {
            host.streams.clear();
            host.run_for(1s);
            THEN("others are admitted") { CHECK(host.admit(streams_of_link) > streams_of_link / 2); }
        }
    }
    WHEN("calls take half of the link")
    {
        host.call_bytes_per_second = narrow_link / 2;
        host.run_for(1s);
        THEN("few streams are admitted") { CHECK(host.admit(streams_of_link) < streams_of_link / 5); }
    }
}

SCENARIO("a host with an ordinary load on a wide link refuses nothing")
{
    LoadedHost host(125e6);
    CHECK(host.admit(400) == 400);
    host.run_for(2s);
    CHECK(host.load.has_link_for_stream());
    CHECK(host.load.may_read_new_connection(host.now));

    GIVEN("an unknown bandwidth")
    {
        LoadedHost other(0);
        CHECK(other.admit(400) == 400);
        other.run_for(2s);
        CHECK(other.admit(400) == 400);
        CHECK(other.load.may_read_new_connection(other.now));
    }
}

SCENARIO("a host reads no requests of new callers while it would serve them late")
{
    LoadedHost host;
    host.run_for(1s);
    REQUIRE(host.load.may_read_new_connection(host.now));
    auto const read_in = [&host](Duration span) {
        size_t read = 0;
        for (Duration passed { 0 }; passed < span; passed += tick) {
            host.run_for(tick);
            read += host.load.may_read_new_connection(host.now) ? 1 : 0;
        }
        return read;
    };

    WHEN("calls fill the link")
    {
        host.call_bytes_per_second = narrow_link;
        host.run_for(600ms);
        THEN("few are read") { CHECK(read_in(4s) == 8); }
    }
    WHEN("the event loop has been late for a moment by half of the latency goal")
    {
        host.lateness = 50ms;
        host.run_for(150ms);
        THEN("few are read") { CHECK(read_in(4s) == 8); }
        THEN("timeouts of its connections are no evidence against servers")
        {
            CHECK(host.load.delays_connections(host.now));
        }
        AND_WHEN("it is punctual again")
        {
            host.lateness = 0ms;
            host.run_for(tick);
            THEN("all are read") { CHECK(read_in(1s) == 20); }
            THEN("timeouts are evidence again after the longest connect")
            {
                host.run_for(500ms);
                CHECK_FALSE(host.load.delays_connections(host.now));
            }
        }
    }
    WHEN("the process was frozen once")
    {
        host.lateness = 4s;
        host.run_for(tick);
        host.lateness = 0ms;
        THEN("all are read") { CHECK(read_in(1s) == 20); }
    }
    WHEN("it has to refuse a third of what it reads for its link")
    {
        constexpr int rounds = 10;
        for (int i = 0; i < rounds; ++i) {
            host.requests_per_tick = 3;
            host.load.record_refused_stream();
            host.run_for(tick);
        }
        THEN("few are read") { CHECK(read_in(100ms) <= 1); }
    }
}
