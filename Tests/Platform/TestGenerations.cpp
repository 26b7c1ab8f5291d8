/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;
using Fault = StandIns::PlatformRunner::Fault;

/// Returns the event numbers in a response body as a comma-separated list.
static std::string numbers_in(std::string const& body)
{
    std::string numbers;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: "))
            numbers += (numbers.empty() ? "" : ",") + line.substr(4);
    }
    return numbers;
}

SCENARIO("a generation is relayed event by event")
{
    HostFixture fixture;
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto call = fixture.call(HostFixture::generation("g1"));
    fixture.until([&] { return engine.running_count() == 1; });

    WHEN("the engine generates events")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.make_events();
        fixture.until([&] { return call->event_count() == 2; });
        THEN("each event is relayed at once, and the stream ends as complete")
        {
            CHECK_FALSE(call->is_over());
            engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2");
            CHECK(call->headers["Lilactiller-Response-Stamp"] == "stamp-of-engine-1");
        }
    }
    WHEN("the engine terminates during the stream")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.terminate();
        fixture.until([&] { return call->is_over(); });
        THEN("the stream ends as truncated")
        {
            CHECK(call->end == Http::ExchangeEnd::Truncated);
            CHECK(fixture.log_has("event=E2204 stream_failed subject=g1"));
        }
    }
    WHEN("the list has a later start of the engine, and the old connection stays open without data")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.set_start(1'790'000'005'000);
        fixture.store.put("servers", "engine-1", engine.row("models", "hall-a"));
        fixture.until([&] { return call->is_over(); });
        THEN("the stream ends as truncated, since its process has been replaced")
        {
            CHECK(call->end == Http::ExchangeEnd::Truncated);
            CHECK(fixture.log_has("another process has taken its place"));
        }
        AND_THEN("the next generation is dispatched to the new process")
        {
            auto next = fixture.call(HostFixture::generation("g2"));
            fixture.until([&] { return engine.is_running("g2"); });
        }
    }
    WHEN("the caller disconnects")
    {
        call->connection->cancel();
        THEN("the run at the engine is cancelled")
        {
            fixture.until([&] { return engine.dropped_count() == 1; });
        }
    }
}

SCENARIO("a generation that no engine accepts is refused at once")
{
    HostFixture fixture;
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    engine.add_fault(Fault::NotRun);
    auto call = fixture.finished_call(HostFixture::generation("g2"));
    CHECK(call->status == 503);
    CHECK(call->headers.contains("Retry-After"));
}

SCENARIO("a generation outlives its engine")
{
    HostFixture fixture;
    // Long enough that runs are stopped only by the termination time that their engine reports.
    fixture.drain_time = 60s;
    auto& old_engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto call = fixture.call(HostFixture::generation("g3"));
    fixture.until([&] { return old_engine.running_count() == 1; });
    old_engine.make_events();
    fixture.until([&] { return call->event_count() == 1; });
    auto& new_engine = fixture.add_runner("engine-2", "models");
    fixture.until([&] { return fixture.log_has("subject=engine-2"); });

    auto finish = [&] {
        fixture.until([&] { return new_engine.running_count() == 1; });
        new_engine.make_events();
        new_engine.finish_all();
        fixture.until([&] { return call->is_over(); });
        CHECK(call->end == Http::ExchangeEnd::Complete);
        CHECK(old_engine.runs().at("g3") == 1);
        CHECK(new_engine.runs().empty());
    };

    WHEN("the engine reports that it is leaving")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        THEN("the run stops only after its memory was copied, and resumes with the next event")
        {
            old_engine.make_events();
            fixture.until([&] { return call->event_count() == 3; });
            old_engine.set_leaves_in(900);
            finish();
            CHECK(numbers_in(call->body) == "1,2,3,4");
            CHECK(fixture.log_has("event=E2110 generation_moved subject=g3 from=engine-1 to=engine-2"));
        }
        THEN("new generations are not dispatched to it")
        {
            auto other = fixture.call(HostFixture::generation("g4"));
            fixture.until([&] { return new_engine.runs().contains("g4"); });
            CHECK_FALSE(old_engine.runs().contains("g4"));
        }
    }
    WHEN("the domain of the engine with the first copy is evacuated before the second copy")
    {
        auto& other_engine = fixture.add_runner("engine-3", "models", "hall-b");
        fixture.until([&] { return fixture.log_has("subject=engine-3"); });
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until(
            [&] { return fixture.log_has("event=E2109 generation_copied subject=g3 from=engine-1 to=engine-2"); });
        fixture.evacuate("hall-a");
        THEN("the generation resumes at an engine of another domain")
        {
            fixture.until(
                [&] { return fixture.log_has("event=E2109 generation_copied subject=g3 from=engine-1 to=engine-3"); });
            old_engine.set_leaves_in(900);
            fixture.until([&] { return other_engine.running_count() == 1; });
            other_engine.make_events();
            other_engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2,3");
            CHECK(new_engine.received().empty());
        }
    }
    WHEN("the engine terminates between the first copy and the second")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        old_engine.terminate();
        THEN("the generation resumes from the first copy")
        {
            finish();
            CHECK(numbers_in(call->body) == "1,2,3");
        }
    }
    WHEN("the target engine has terminated, and the list still has it")
    {
        new_engine.terminate();
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2111 move_failed subject=g3"); });
        THEN("the copy is refused, and the run continues at its engine")
        {
            CHECK(fixture.log_has("status 503 for a copy"));
            CHECK_FALSE(call->is_over());
            old_engine.make_events();
            old_engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2,3");
        }
    }
    WHEN("the run completes between the first copy and the handover")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        old_engine.finish_all();
        fixture.until([&] { return call->is_over(); });
        THEN("the stream is complete, and nothing runs at the target")
        {
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2");
            CHECK(new_engine.received().empty());
        }
    }
}

SCENARIO("a run is stopped by the termination time that its engine reports, however late the report")
{
    HostFixture fixture;
    // Without a report of the engine the run would continue for this long.
    fixture.drain_time = 60s;
    auto& old_engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto call = fixture.call(HostFixture::generation("g5"));
    fixture.until([&] { return old_engine.running_count() == 1; });
    auto& new_engine = fixture.add_runner("engine-2", "models");
    fixture.until([&] { return fixture.log_has("subject=engine-2"); });
    fixture.drain(old_engine);
    fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
    old_engine.make_events();
    fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g5"); });
    old_engine.set_leaves_in(900);
    fixture.until([&] { return new_engine.running_count() == 1; });
    new_engine.make_events();
    new_engine.finish_all();
    fixture.until([&] { return call->is_over(); });
    CHECK(numbers_in(call->body) == "1,2");
}

SCENARIO("an engine that is removed from the list without notice is polled until it reports when it terminates")
{
    HostFixture fixture;
    // Without a report of the engine the run would continue for this long.
    fixture.drain_time = 60s;
    auto& old_engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto call = fixture.call(HostFixture::generation("g6"));
    fixture.until([&] { return old_engine.running_count() == 1; });
    auto& new_engine = fixture.add_runner("engine-2", "models");
    fixture.until([&] { return fixture.log_has("subject=engine-2"); });
    fixture.remove_from_list(old_engine);
    fixture.until([&] { return fixture.log_has("event=E2307 backend_server_gone subject=engine-1"); });
    old_engine.make_events();
    fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g6"); });
    // Its first report came before its notice and had no termination time.
    old_engine.set_leaves_in(1200);
    fixture.until(
        [&] { return fixture.log_has("event=E2109 generation_copied subject=g6 from=engine-1 to=engine-2 last=1"); });
    fixture.until([&] { return new_engine.running_count() == 1; });
    new_engine.make_events();
    new_engine.finish_all();
    fixture.until([&] { return call->is_over(); });
    CHECK(call->end == Http::ExchangeEnd::Complete);
    CHECK(numbers_in(call->body) == "1,2");
}

SCENARIO("the largest generation of a leaving engine is copied first")
{
    HostFixture fixture;
    auto& old_engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto small = HostFixture::generation("small");
    small.set("Lilactiller-Token-Usage", "100,80");
    auto large = HostFixture::generation("large");
    large.set("Lilactiller-Token-Usage", "6000,80");
    auto small_call = fixture.call(std::move(small));
    auto large_call = fixture.call(std::move(large));
    fixture.until([&] { return old_engine.running_count() == 2; });
    fixture.add_runner("engine-2", "models");
    fixture.until([&] { return fixture.log_has("subject=engine-2"); });
    fixture.drain(old_engine);
    fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
    old_engine.make_events();
    fixture.until([&] { return old_engine.copy_orders().size() >= 2; });
    CHECK(old_engine.copy_orders()[0] == "large");
    CHECK(old_engine.copy_orders()[1] == "small");
}
