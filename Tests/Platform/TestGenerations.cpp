/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;
using Fault = StandIn::PlatformRunner::Fault;

/// Numbers of the events that a caller has got, as a list with commas.
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

    WHEN("events are made")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.make_events();
        fixture.until([&] { return call->event_count() == 2; });
        THEN("each arrives as it is made, and the end is told as such")
        {
            CHECK_FALSE(call->is_over());
            engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2");
            CHECK(call->headers["Lilactiller-Response-Stamp"] == "stamp-of-engine-1");
        }
    }
    WHEN("the engine ends in the middle")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.end();
        fixture.until([&] { return call->is_over(); });
        THEN("the stream does not look complete")
        {
            CHECK(call->end == Http::ExchangeEnd::Truncated);
            CHECK(fixture.log_has("event=E2204 stream_failed subject=g1"));
        }
    }
    WHEN("the list has a later start of the engine, and the former one's connection is silent")
    {
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
        engine.set_start(1'790'000'005'000);
        fixture.store.put("servers", "engine-1", engine.row("models", "hall-a"));
        fixture.until([&] { return call->is_over(); });
        THEN("the stream ends with the process that made it")
        {
            CHECK(call->end == Http::ExchangeEnd::Truncated);
            CHECK(fixture.log_has("another process has taken its place"));
        }
        AND_THEN("the next one is given to the new process")
        {
            auto next = fixture.call(HostFixture::generation("g2"));
            fixture.until([&] { return engine.is_running("g2"); });
        }
    }
    WHEN("the caller leaves")
    {
        call->connection->cancel();
        THEN("the engine's work ends")
        {
            fixture.until([&] { return engine.dropped_count() == 1; });
        }
    }
}

SCENARIO("a generation that no engine takes is refused at once")
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
    // No run is stopped by the clock here, only when its engine says when it ends.
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

    WHEN("the engine says that it leaves")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        THEN("the run is stopped there only when its memory is elsewhere, and goes on with the next event")
        {
            old_engine.make_events();
            fixture.until([&] { return call->event_count() == 3; });
            old_engine.set_leaves_in(900);
            finish();
            CHECK(numbers_in(call->body) == "1,2,3,4");
            CHECK(fixture.log_has("event=E2110 generation_moved subject=g3 from=engine-1 to=engine-2"));
        }
        THEN("new generations do not go there")
        {
            auto other = fixture.call(HostFixture::generation("g4"));
            fixture.until([&] { return new_engine.runs().contains("g4"); });
            CHECK_FALSE(old_engine.runs().contains("g4"));
        }
    }
    WHEN("the domain of the engine that holds the first copy is emptied before the second")
    {
        auto& other_engine = fixture.add_runner("engine-3", "models", "hall-b");
        fixture.until([&] { return fixture.log_has("subject=engine-3"); });
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until(
            [&] { return fixture.log_has("event=E2109 generation_copied subject=g3 from=engine-1 to=engine-2"); });
        fixture.evacuate("hall-a");
        THEN("it goes on at an engine of another one")
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
    WHEN("it ends after the first copy and before the second")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        old_engine.end();
        THEN("the generation goes on from the first copy")
        {
            finish();
            CHECK(numbers_in(call->body) == "1,2,3");
        }
    }
    WHEN("the engine that would take it has ended, and the list still has it")
    {
        new_engine.end();
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2111 move_failed subject=g3"); });
        THEN("the copy is refused, and the run goes on where it is")
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
    WHEN("the run comes to its end while a copy waits for the hand-over")
    {
        fixture.drain(old_engine);
        fixture.until([&] { return fixture.log_has("subject=engine-1 state=leaving"); });
        old_engine.make_events();
        fixture.until([&] { return fixture.log_has("event=E2109 generation_copied subject=g3"); });
        old_engine.finish_all();
        fixture.until([&] { return call->is_over(); });
        THEN("the stream is complete, and nothing runs elsewhere")
        {
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(numbers_in(call->body) == "1,2");
            CHECK(new_engine.received().empty());
        }
    }
}

SCENARIO("a run is stopped by what its engine says of its end, however late it says so")
{
    HostFixture fixture;
    // Without a word of the engine the run would go on for this long.
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

SCENARIO("an engine that goes off the list without a word is asked until it says when it ends")
{
    HostFixture fixture;
    // Without a word of the engine the run would go on for this long.
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
    // The first report was from before its notice.
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

SCENARIO("the largest generation of an engine that leaves is copied first")
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
