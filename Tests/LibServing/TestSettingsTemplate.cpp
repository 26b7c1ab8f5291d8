/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/HostSettings.h>
#include <Tests/LibServing/SettingsTemplate.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <iomanip>
#include <rapidcheck/catch.h>

using Values = std::map<std::string, std::string>;

static Result<Serving::HostSettings> start_with(Values const& values, Values const& zones)
{
    std::ifstream file(std::string(LILAC_SOURCE_DIRECTORY) + "/deploy/host.yaml");
    Test::SettingsTemplate const settings_template(std::string((std::istreambuf_iterator<char>(file)), {}));
    TRY(auto reader, Core::SettingsReader::parse("host.yaml", settings_template.fill(values, zones)));
    auto settings = Serving::read_host_settings(reader);
    TRYV(reader.finish());
    return settings;
}

static Values values()
{
    return { { "node", "front-hall-a-19" }, { "zone", "hall-a" }, { "ip", "10.1.0.19" },
        { "listen.front", "10.1.0.19:8740" }, { "listen.ready", "10.1.0.19:8749" }, { "port_range.0", "7200" },
        { "platform.addr", "10.200.1.7:8742" }, { "limits.cores", "1" }, { "limits.cpu_share", "0.25" },
        { "limits.link_mbps", "1000.0" }, { "limits.memory_mb", "110" }, { "bounds.grace_s", "8" },
        { "bounds.drain_ms", "2000" }, { "bounds.expose_share", "0.1" }, { "bounds.expose_slack", "50" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "56" }, { "bounds.budget_window_s", "10" } };
}

static Values const zones { { "hall-a", "sofia" }, { "hall-b", "sofia" } };

// Guards against a value that the platform may choose and with which no process starts.
SCENARIO("a host starts with any value that the platform may fill into its settings")
{
    GIVEN("bounds that are fractions")
    {
        auto fractions = values();
        fractions["bounds.grace_s"] = "8.5";
        fractions["bounds.drain_ms"] = "2000.5";
        fractions["bounds.budget_window_s"] = "9.75";
        fractions["bounds.budget_slack"] = "56.5";
        fractions["limits.memory_mb"] = "110.25";
        auto const settings = start_with(fractions, zones);
        REQUIRE(settings);
        CHECK(settings.value().stop_grace == 8500ms);
        CHECK(settings.value().drain_time == 2'000'500us);
        CHECK(settings.value().retry_budget.window == 9750ms);
        CHECK(settings.value().memory_bytes == 110'250'000);
    }
    GIVEN("each number in each notation")
    {
        for (auto const* key : { "limits.cores", "limits.cpu_share", "limits.link_mbps", "limits.memory_mb",
                 "bounds.grace_s", "bounds.drain_ms", "bounds.expose_share", "bounds.expose_slack",
                 "bounds.retry_budget_ratio", "bounds.budget_slack", "bounds.budget_window_s" }) {
            for (auto const* number : { "0", "1", "8.0", "0.001", "1e-07", "1.5e+2", "31536000" }) {
                auto drawn = values();
                drawn[key] = number;
                INFO(key << " is " << number);
                CHECK(start_with(drawn, zones));
            }
        }
    }
    GIVEN("bounds that the deployment does not have")
    {
        auto few = values();
        for (auto const* key : { "bounds.grace_s", "bounds.drain_ms", "bounds.expose_share", "bounds.expose_slack",
                 "bounds.retry_budget_ratio", "bounds.budget_slack", "bounds.budget_window_s", "limits.memory_mb" })
            few.erase(key);
        auto const settings = start_with(few, zones);
        REQUIRE(settings);
        CHECK(settings.value().stop_grace == Serving::HostSettings().stop_grace);
    }
    GIVEN("no zones, and zones with unusual names")
    {
        CHECK(start_with(values(), {}));
        auto const settings = start_with(values(), { { "hall: a", "it's #1" }, { "true", "8.5" } });
        REQUIRE(settings);
        CHECK(settings.value().regions.at(FailureDomainId("hall: a")) == RegionId("it's #1"));
        CHECK(settings.value().regions.at(FailureDomainId("true")) == RegionId("8.5"));
    }
    rc::prop("any grace of up to a day, whole or not", [](u32 milliseconds) {
        auto const grace = std::chrono::milliseconds(milliseconds % 86'400'000);
        auto drawn = values();
        std::ostringstream seconds;
        seconds << std::setprecision(12) << static_cast<double>(grace.count()) / 1000;
        drawn["bounds.grace_s"] = seconds.str();
        auto const settings = start_with(drawn, zones);
        RC_ASSERT(settings.has_value());
        RC_ASSERT(settings.value().stop_grace == grace);
    });
}
