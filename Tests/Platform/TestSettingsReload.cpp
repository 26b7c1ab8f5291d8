/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <csignal>

using Test::HostFixture;

SCENARIO("settings are read again on a signal, and wrong ones change nothing")
{
    HostFixture fixture;
    auto& server = fixture.add_runner("lanes-1", "lanes");
    fixture.memory_bytes = 88 << 20;
    fixture.start_ready_host();

    SECTION("with settings that are wrong, the host keeps the earlier ones and serves on")
    {
        fixture.settings_error = Error { ErrorKind::InvalidRequest, "retries.ratio: expected a number", {} };
        std::raise(SIGHUP);
        fixture.until([&] { return fixture.log_has("event=E1007 settings_rejected subject=host-1"); });
        CHECK(fixture.log_has("retries.ratio: expected a number"));
        CHECK_FALSE(fixture.log_has("settings_reloaded"));
        CHECK(fixture.is_ready());
        auto call = fixture.call(HostFixture::request("/lookup/1", "c1"));
        fixture.until([&] { return call->is_over(); });
        CHECK(call->status == 200);
        CHECK(server.runs().at("c1") == 1);
        CHECK(fixture.metrics_text().find("settings_rejected 1") != std::string::npos);

        SECTION("and takes the next good ones")
        {
            fixture.settings_error.reset();
            std::raise(SIGHUP);
            fixture.until([&] { return fixture.log_has("settings_reloaded"); });
            CHECK(fixture.is_ready());
            CHECK(fixture.metrics_text().find("settings_rejected 0") != std::string::npos);
        }
    }

    SECTION("a call in progress outlives a change of the settings")
    {
        server.set_work_time(100ms);
        auto call = fixture.call(HostFixture::request("/lookup/1", "c2"));
        fixture.until([&] { return server.runs().contains("c2"); });
        fixture.memory_bytes = 512 << 20;
        std::raise(SIGHUP);
        fixture.until([&] { return fixture.log_has("settings_reloaded"); });
        fixture.until([&] { return call->is_over(); });
        CHECK(call->status == 200);
    }
}
