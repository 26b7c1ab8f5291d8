/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;
using Mode = StandIn::PlatformStore::Mode;

static std::string const extra_route
    = R"(,{"name":"extra","host":"tolls.example","path_prefix":"/extra/","kind":"safe","timeout_ms":4000,"service":"lanes"})";

SCENARIO("a host keeps up with the configuration")
{
    HostFixture fixture;
    fixture.add_runner("lane-1", "lanes");
    fixture.start_ready_host();
    REQUIRE(fixture.finished_call(HostFixture::request("/extra/1", "e1"))->status == 404);

    WHEN("a newer version comes")
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
    WHEN("the platform forgets its history while a change is made")
    {
        fixture.put_configuration(9, extra_route);
        fixture.store.forget_history();
        THEN("the table is read as a whole again")
        {
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
            CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e4"))->status == 200);
        }
    }
    WHEN("the platform shows an older state than before")
    {
        fixture.store.set_behind(5);
        fixture.put_configuration(9, extra_route);
        fixture.until([&] { return fixture.log_has("older state"); });
        CHECK(fixture.finished_call(HostFixture::request("/extra/1", "e5"))->status == 404);
        THEN("it is believed again once it has caught up")
        {
            fixture.store.set_behind(0);
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
        }
    }
    WHEN("a version cannot be understood")
    {
        fixture.store.put("op", "config", R"({"version":12,"routes":[{"name":"half"}]})");
        fixture.until([&] { return fixture.log_has("event=E1304 platform_content_rejected subject=config"); });
        THEN("the earlier one stays in force")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "e6"))->status == 200);
        }
    }
    WHEN("the platform falls silent")
    {
        fixture.store.set_mode(Mode::Silent);
        fixture.until([&] { return fixture.log_has("event=E1301 platform_unavailable subject=op"); });
        THEN("the host serves on, and follows again when the platform is back")
        {
            CHECK(fixture.finished_call(HostFixture::request("/lookup/1", "e7"))->status == 200);
            fixture.store.set_mode(Mode::Serving);
            fixture.put_configuration(9, extra_route);
            fixture.until([&] { return fixture.log_has("event=E1201 revision_in_force subject=9"); });
        }
    }
}

SCENARIO("a host finds others through the platform's table, and they tell each other what they run")
{
    HostFixture first;
    auto& engine = first.add_runner("engine-1", "models");
    first.start_ready_host();
    first.until([&] { return first.store.rows("lilactiller_hosts").contains("host-1"); });

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
    first.until([&] { return second.believed_use_of(EngineId("engine-1")).peer_generations == 1; });
    CHECK(second.believed_use_of(EngineId("engine-1")).peer_tokens >= 1460);
    engine.finish_all();
    first.until([&] { return second.believed_use_of(EngineId("engine-1")).peer_generations == 0; });
}
