/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/HostSettings.h>
#include <catch2/catch.hpp>
#include <fstream>

static Result<Serving::HostSettings> read(std::string const& text)
{
    TRY(auto reader, Core::SettingsReader::parse("host.yaml", text));
    auto settings = Serving::read_host_settings(reader);
    TRYV(reader.finish());
    return settings;
}

static std::string const required = R"(host:
  name: h1
  failure_domain: hall-a
  callers_listen: 127.0.0.1:1
  readiness_listen: 127.0.0.1:2
  peer_listen: 127.0.0.1:3
  platform: 127.0.0.1:4
)";

SCENARIO("the settings of a host are validated")
{
    CHECK(read(required).has_value());
    GIVEN("no announced address") { CHECK(read(required).value().peer_address == Address("127.0.0.1:3")); }
    GIVEN("a valid and an invalid announced address")
    {
        CHECK(read(required + "  peer_address: 127.0.0.1:9\n").value().peer_address == Address("127.0.0.1:9"));
        CHECK_FALSE(read(required + "  peer_address: elsewhere\n"));
    }
    GIVEN("an invalid value")
    {
        auto settings = read(required + "retries:\n  ratio: a lot\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find("host.yaml:9: retries.ratio: expected a number") != std::string::npos);
    }
    GIVEN("an invalid and a missing address")
    {
        auto settings = read("host:\n  name: h1\n  callers_listen: nowhere\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find("host.callers_listen") != std::string::npos);
        CHECK(settings.error().message.find("host.platform: is missing; add it") != std::string::npos);
    }
}

SCENARIO("Base/host.yaml is valid")
{
    auto reader = Core::SettingsReader::load(std::string(LILAC_SOURCE_DIRECTORY) + "/Base/host.yaml");
    REQUIRE(reader);
    Serving::read_host_settings(reader.value());
    auto finished = reader.value().finish();
    INFO((finished ? "" : finished.error().message));
    CHECK(finished);
}

SCENARIO("the class of a host follows the weaker of its processor and link")
{
    auto strength = [](double cores, double megabits) {
        Serving::HostSettings settings;
        settings.cores = cores;
        settings.link_megabits_per_second = megabits;
        return Serving::strength_of(settings);
    };
    CHECK(strength(0.12, 20) == 0);
    CHECK(strength(0.12, 0) == 0);
    CHECK(strength(0.25, 10) == 0);
    CHECK(strength(0.25, 1000) == 1);
    CHECK(strength(0.5, 200) == 2);
    CHECK(strength(1, 1000) == 3);
    CHECK(strength(1, 40) == 2);
}

SCENARIO("a host whose link is not set bounds nothing by it")
{
    Serving::HostSettings settings;
    CHECK(Serving::link_bytes_per_second(settings) == 0);
    settings.link_megabits_per_second = 8;
    CHECK(Serving::link_bytes_per_second(settings) == 1'000'000);
}
