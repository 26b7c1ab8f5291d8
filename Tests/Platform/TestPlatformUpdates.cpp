/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;
using Mode = StandIns::PlatformStore::Mode;

static std::string const extra_route
    = R"(,{"name":"extra","host":"tolls.example","path_prefix":"/extra/","kind":"safe","timeout_ms":4000,"service":"lanes"})";

SCENARIO("a host keeps up with the configuration")
{
    HostFixture fixture;
    fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();
    REQUIRE(fixture.finished_call(HostFixture::request("/extra/1", "e1"))->status == 404);

    WHEN("a newer version is written")
    {
        fixture.put_configuration(9, extra_route);
        fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
        CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e2"))->status == 200);
        THEN("an older one changes nothing")
        {
            auto version = fixture.store.version();
            fixture.put_configuration(8);
            fixture.add_runner("lane-2", "lanes");
            fixture.until([&] { return fixture.log_has("subject=lane-2"); });
            CHECK(fixture.store.version() > version);
            CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e3"))->status == 200);
            CHECK_FALSE(fixture.log_has("subject=8"));
        }
    }
    WHEN("the platform loses its history of changes while a change is made")
    {
        fixture.put_configuration(9, extra_route);
        fixture.store.discard_history();
        THEN("the complete table is read again")
        {
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
            CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e4"))->status == 200);
        }
    }
    WHEN("the platform returns an older state than before")
    {
        fixture.store.set_version_lag(5);
        fixture.put_configuration(9, extra_route);
        fixture.until([&] { return fixture.log_has("older state"); });
        CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e5"))->status == 404);
        THEN("its changes are applied again once it has caught up")
        {
            fixture.store.set_version_lag(0);
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
        }
    }
    WHEN("a version is invalid")
    {
        fixture.store.put("op", "config", R"({"version":12,"routes":[{"name":"half"}]})");
        fixture.until([&] { return fixture.log_has("event=E1304 platform_content_rejected subject=config"); });
        THEN("the previous version stays in force")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "e6"))->status == 200);
        }
    }
    WHEN("the platform stops responding")
    {
        fixture.store.set_mode(Mode::Silent);
        fixture.until([&] { return fixture.log_has("event=E1301 platform_unavailable subject=op"); });
        THEN("the host continues to serve, and applies changes again when the platform is available")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "e7"))->status == 200);
            fixture.store.set_mode(Mode::Serving);
            fixture.put_configuration(9, extra_route);
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
        }
    }
}

SCENARIO("hosts discover each other in the platform's table and announce what they run")
{
    HostFixture first;
    auto& engine = first.add_runner("engine-1", "models");
    first.start_ready_host();
    first.until([&] { return first.store.rows("lilactiller_hosts/hall-a").contains("host-1"); });

    Core::StructuredLog other_log([](std::string_view text) { return text.size(); });
    auto settings = first.settings();
    settings.host = MemberId("host-2");
    settings.callers_listen = Address(Test::text_of(Test::free_endpoint()));
    settings.readiness_listen = Address(Test::text_of(Test::free_endpoint()));
    settings.metrics_listen = {};
    settings.peer_listen = Address(Test::text_of(Test::free_endpoint()));
    settings.peer_address = settings.peer_listen;
    Serving::Host<Adapter::UsersPlatform> second(
        first.loop, settings, other_log, [&]() -> Result<Serving::HostSettings> { return settings; });
    second.start();
    first.until([&] { return first.log_has("event=E1101 member_joined subject=host-2"); });

    auto call = first.call(HostFixture::generation("g9"));
    first.until([&] { return engine.running_count() == 1; });
    first.until([&] { return second.estimated_load_of(EngineId("engine-1")).peer_generations == 1; });
    CHECK(second.estimated_load_of(EngineId("engine-1")).peer_tokens >= 1460);
    engine.finish_all();
    first.until([&] { return second.estimated_load_of(EngineId("engine-1")).peer_generations == 0; });
}

SCENARIO("the operator's order that a failure domain gets nothing is obeyed")
{
    HostFixture fixture;
    auto& lane_a = fixture.add_runner("lane-a", "lanes", "hall-a");
    auto& lane_b = fixture.add_runner("lane-b", "lanes", "hall-b");
    auto status_of = [&](std::string const& attempt) {
        return fixture.finished_call(HostFixture::request("/lookup/1", attempt))->status;
    };

    WHEN("the order was given before the host started")
    {
        fixture.evacuate("hall-a");
        fixture.start_ready_host();
        THEN("the host has applied it when it becomes ready")
        {
            CHECK(status_of("v1") == 200);
            CHECK(lane_a.received().empty());
        }
    }
    WHEN("the order is given while the host serves requests")
    {
        fixture.start_ready_host();
        auto stream_engine = &fixture.add_runner("engine-a", "models", "hall-a");
        fixture.until([&] { return fixture.log_has("subject=engine-a"); });
        auto stream = fixture.call(HostFixture::generation("v2"));
        fixture.until([&] { return stream_engine->running_count() == 1; });
        fixture.evacuate("hall-a");
        fixture.until([&] { return fixture.log_has("event=E2310 domain_evacuated subject=hall-a"); });
        THEN("calls go to another domain, new generations are refused at once, and running ones continue")
        {
            auto const before = lane_a.received().size();
            CHECK(status_of("v3") == 200);
            CHECK(lane_a.received().size() == before);
            auto refused = fixture.finished_call(HostFixture::generation("v4"));
            CHECK(refused->status == 503);
            CHECK(refused->headers.contains("Retry-After"));
            stream_engine->make_events();
            stream_engine->finish_all();
            fixture.until([&] { return stream->is_over(); });
            CHECK(stream->end == Http::ExchangeEnd::Complete);
            CHECK(stream->event_count() == 1);
        }
        AND_WHEN("all domains are evacuated")
        {
            fixture.evacuate("hall-b");
            fixture.until([&] { return fixture.log_has("subject=hall-b"); });
            CHECK(status_of("v5") == 503);
        }
        AND_WHEN("the order is cancelled")
        {
            fixture.cancel_evacuation("hall-a");
            fixture.until([&] { return fixture.log_has("event=E2311 domain_evacuation_taken_back subject=hall-a"); });
            auto again = fixture.call(HostFixture::generation("v6"));
            fixture.until([&] { return stream_engine->running_count() == 2; });
        }
        AND_WHEN("the platform loses its history of changes while the order is cancelled")
        {
            fixture.cancel_evacuation("hall-a");
            fixture.store.discard_history();
            fixture.until([&] { return fixture.log_has("event=E2311 domain_evacuation_taken_back subject=hall-a"); });
        }
        AND_WHEN("another writer replaces the order by an invalid row")
        {
            fixture.evacuate("hall-a", "[1, 2");
            THEN("the evacuation ends, and the invalid row is logged")
            {
                fixture.until(
                    [&] { return fixture.log_has("event=E1304 platform_content_rejected subject=evacuate/hall-a"); });
                CHECK(fixture.log_has("event=E2311 domain_evacuation_taken_back subject=hall-a"));
            }
        }
    }
    CHECK(lane_b.address() != lane_a.address());
}

SCENARIO("a host that the platform does not answer hears of an evacuation from another one")
{
    HostFixture first;
    auto& lane_a = first.add_runner("lane-a", "lanes", "hall-a");
    first.add_runner("lane-b", "lanes", "hall-b");
    first.start_ready_host();
    auto settings = first.settings();
    settings.host = MemberId("host-2");
    auto const callers = Test::free_endpoint();
    settings.callers_listen = Address(Test::text_of(callers));
    settings.readiness_listen = Address(Test::text_of(Test::free_endpoint()));
    settings.metrics_listen.reset();
    settings.peer_listen = Address(Test::text_of(Test::free_endpoint()));
    settings.peer_address = settings.peer_listen;
    std::string second_log;
    Core::StructuredLog other_log([&](std::string_view text) {
        second_log += text;
        return text.size();
    });
    Serving::Host<Adapter::UsersPlatform> second(
        first.loop, settings, other_log, [&]() -> Result<Serving::HostSettings> { return settings; });
    second.start();
    first.until([&] { return first.log_has("event=E1101 member_joined subject=host-2"); });

    first.evacuate("hall-a");
    first.until([&] {
        other_log.flush();
        return second_log.find("event=E2310 domain_evacuated subject=hall-a") != std::string::npos;
    });
    auto exchange = first.send(HostFixture::request("/lookup/1", "v7"), callers);
    first.until([&] { return exchange->is_over(); });
    CHECK(exchange->status == 200);
    CHECK(lane_a.received().empty());
}
