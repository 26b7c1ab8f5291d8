/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <csignal>

using Test::HostFixture;

SCENARIO("a host that is stopped serves until the last request has its answer")
{
    HostFixture fixture;
    fixture.add_runner("lane-1", "lanes");
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    // This persistent connection is closed once the load balancer must have noticed the stop.
    auto idle = fixture.finished_call(HostFixture::request("/lookup/0", "a0"));
    auto stream = fixture.call(HostFixture::generation("long-1"));
    fixture.until([&] { return engine.is_running("long-1"); });
    engine.make_events();
    fixture.until([&] { return stream->event_count() == 1; });
    ::raise(SIGTERM);
    fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });

    WHEN("the load balancer still sends it requests")
    {
        THEN("it reports that it is not ready") { CHECK_FALSE(fixture.is_ready()); }
        THEN("a call is served, and its connection is closed after the response")
        {
            auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
            CHECK(call->status == 200);
            CHECK(call->headers["Connection"] == "close");
        }
        THEN("a generation is refused as not run, with a Retry-After")
        {
            auto call = fixture.finished_call(HostFixture::generation("late-1"));
            CHECK(call->status == 503);
            CHECK(call->headers.contains("Retry-After"));
            CHECK_FALSE(engine.is_running("late-1"));
        }
    }
    WHEN("the load balancer must have noticed, and a stream is still open")
    {
        fixture.until([&] { return fixture.log_has("reason=planned_stop"); });
        THEN("the host terminates when the stream has ended")
        {
            engine.finish_all();
            fixture.until([&] { return stream->is_over(); });
            CHECK(stream->end == Http::ExchangeEnd::Complete);
            fixture.until([&] { return fixture.log_has("E1004 process_stopped"); });
        }
    }
}
