/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/LibHttp/PersistentCaller.h>
#include <Tests/Platform/HostFixture.h>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <sstream>

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

static std::string bytes_of(Http::Request request)
{
    request.prepare_payload();
    std::ostringstream text;
    text << request.base() << request.body();
    return text.str();
}

// Guards against calls that a host dispatches during a planned stop and cuts when its process ends.
//
// Cause: a stream that began before the stop signal had told its caller that the connection would be kept. The caller's
// next request was dispatched however little was left of the grace period, and the process ended without a response.
SCENARIO("every request that a stopping host has read gets a response before the process ends")
{
    HostFixture fixture;
    fixture.stop_grace = 3300ms;
    auto& server = fixture.add_runner("lane-1", "lanes");
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto reached_server = [&](std::string const& attempt) {
        return std::ranges::any_of(server.received(), [&](auto const& request) { return request.attempt == attempt; });
    };
    auto has_ended = [&] { return fixture.log_has("E1004 process_stopped"); };

    GIVEN("callers with streams that began before the stop, on connections that are to be kept")
    {
        constexpr size_t caller_count = 4;
        constexpr Duration time_between_ends = 500ms;
        server.set_work_time(500ms);
        std::vector<std::unique_ptr<Http::Test::PersistentCaller>> callers;
        for (size_t i = 0; i < caller_count; ++i) {
            auto& caller = callers.emplace_back(
                std::make_unique<Http::Test::PersistentCaller>(fixture.loop, fixture.callers_endpoint));
            caller->send(bytes_of(HostFixture::generation("stream-" + std::to_string(i))));
            fixture.until([&] { return engine.running_count() == i + 1; });
            // The next prompt is admitted once this one has been read.
            engine.make_events();
            fixture.until([&] { return caller->bytes().find("token of") != std::string::npos; });
        }
        ::raise(SIGTERM);
        fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });
        auto const begun_at = AK::BootClock::now();

        WHEN("the streams end one after the other until the process ends, and each caller sends a call at once")
        {
            for (size_t i = 0; i < caller_count; ++i) {
                auto const ends_at = begun_at + 1200ms + static_cast<i64>(i) * time_between_ends;
                fixture.until([&] { return has_ended() || AK::BootClock::now() >= ends_at; });
                engine.finish("stream-" + std::to_string(i));
                fixture.until([&] { return has_ended() || callers[i]->bytes().ends_with("\r\n0\r\n\r\n"); });
                callers[i]->send(bytes_of(HostFixture::request("/lookup/1", "call-" + std::to_string(i))));
            }
            fixture.until(has_ended);
            fixture.loop.poll();
            THEN("no call that has reached a server is left without a response")
            {
                for (size_t i = 0; i < caller_count; ++i) {
                    auto const attempt = "call-" + std::to_string(i);
                    INFO(attempt);
                    CHECK((!reached_server(attempt) || callers[i]->bytes().find(attempt) != std::string::npos));
                }
            }
        }
    }
    GIVEN("a call whose backend server takes longer than the grace period")
    {
        server.add_fault(StandIns::PlatformRunner::Fault::Hang);
        auto call = fixture.call(HostFixture::request("/lookup/1", "a1"));
        fixture.until([&] { return reached_server("a1"); });
        fixture.stop_grace = 2s;
        ::raise(SIGHUP);
        fixture.until([&] { return fixture.log_has("settings_reloaded"); });
        ::raise(SIGTERM);
        THEN("it gets a response that says that it may have run")
        {
            fixture.until(has_ended);
            fixture.until([&] { return call->is_over(); });
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(call->status == 502);
        }
    }
    GIVEN("a connection that was opened before the stop")
    {
        fixture.stop_grace = 2s;
        ::raise(SIGHUP);
        fixture.until([&] { return fixture.log_has("settings_reloaded"); });
        ::raise(SIGTERM);
        fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });
        WHEN("a call may take longer than the rest of the grace period")
        {
            auto call = fixture.finished_call(HostFixture::request("/lookup/1", "a1"));
            THEN("it is refused at once as not run, and another host can serve it")
            {
                CHECK(call->status == 503);
                CHECK(call->headers.contains("Retry-After"));
                CHECK(call->headers["Connection"] == "close");
                CHECK_FALSE(reached_server("a1"));
            }
        }
    }
}

// Guards against requests that a stopping host takes late in its grace period, passes on, and cuts when its process
// ends: each of them is answered truly, in calm, on whatever connection it comes.
SCENARIO("requests that come at any time of a planned stop are answered truly")
{
    HostFixture fixture;
    fixture.stop_grace = 3300ms;
    auto& server = fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();
    auto const work_time = GENERATE(Duration(0ms), Duration(60ms), Duration(400ms), Duration(1200ms));
    INFO("a call works for " << AK::to_milliseconds(work_time) << " ms");
    server.set_work_time(work_time);
    auto reached_server = [&](std::string const& attempt) {
        return std::ranges::any_of(server.received(), [&](auto const& request) { return request.attempt == attempt; });
    };
    auto has_ended = [&] { return fixture.log_has("E1004 process_stopped"); };
    constexpr Duration arrival_period = 50ms;
    constexpr auto deadline_ms = "1000";

    std::vector<std::pair<std::string, std::shared_ptr<Test::Call>>> calls;
    auto send = [&](std::string const& route, std::string const& attempt) {
        auto request = HostFixture::request("/" + route + "/1", attempt);
        request.set("Lilactiller-Deadline-Ms", deadline_ms);
        calls.emplace_back(attempt, fixture.call(std::move(request)));
    };
    ::raise(SIGTERM);
    fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });
    auto next_arrival = AK::BootClock::now();
    fixture.until([&] {
        if (AK::BootClock::now() >= next_arrival) {
            next_arrival += arrival_period;
            send("lookup", "once-" + std::to_string(calls.size()));
            send("tariff", "safe-" + std::to_string(calls.size()));
        }
        return has_ended();
    });
    fixture.loop.poll();
    size_t served = 0;
    for (auto const& [attempt, call] : calls) {
        INFO(attempt << " got status " << call->status);
        bool const is_answered = call->end == Http::ExchangeEnd::Complete;
        served += is_answered && call->status == 200 ? 1 : 0;
        CHECK((is_answered || !reached_server(attempt)));
        CHECK((call->status != 503 || !reached_server(attempt)));
        // A call that may be repeated may come again; one that may not is never cut off after it has run.
        if (is_answered && attempt.starts_with("once-") && reached_server(attempt) && work_time < 1s)
            CHECK(call->status == 200);
    }
    THEN("those that came early are served") { CHECK((served > 0 || work_time > 1s)); }
}
