/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;

/// Each event repeats the caller's attempt id, so that a long id makes large events.
static constexpr size_t event_bytes = 3000;
/// Far more than the sockets between engine, host and caller hold.
static constexpr size_t max_events = 20'000;

SCENARIO("a caller that does not read its stream slows down the engine instead of filling the host")
{
    HostFixture fixture;
    fixture.memory_bytes = 8 << 20;
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.start_ready_host();
    auto call = fixture.call(HostFixture::generation(std::string(event_bytes, 'a')));
    fixture.until([&] { return engine.running_count() == 1; });
    engine.make_events();
    fixture.until([&] { return call->event_count() == 1; });
    call->connection->pause();

    size_t made = 1;
    constexpr size_t events_between_checks = 200;
    auto is_host_paused = [&] { return fixture.metrics_text().find("streams_paused_total") != std::string::npos; };
    while (made < max_events && !is_host_paused()) {
        for (size_t i = 0; i < events_between_checks; ++i, ++made)
            engine.make_events();
        fixture.loop.poll();
    }
    REQUIRE(made < max_events);

    SECTION("other callers are served meanwhile")
    {
        auto other = fixture.call(HostFixture::generation("other"));
        fixture.until([&] { return engine.is_running("other"); });
        other->connection->cancel();
        fixture.until([&] { return engine.dropped_count() == 1; });
    }

    SECTION("it gets every event once it reads again")
    {
        engine.finish_all();
        call->connection->resume();
        fixture.until([&] { return call->is_over(); });
        CHECK(call->end == Http::ExchangeEnd::Complete);
        CHECK(call->event_count() == made);
    }

    SECTION("its engine is released when it disconnects")
    {
        call->connection->cancel();
        fixture.until([&] { return engine.dropped_count() == 1; });
    }
}
