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

static std::string const needed = R"(host:
  name: h1
  failure_domain: hall-a
  callers_listen: 127.0.0.1:1
  readiness_listen: 127.0.0.1:2
  peer_listen: 127.0.0.1:3
  platform: 127.0.0.1:4
)";

SCENARIO("settings of a host are checked as a whole")
{
    CHECK(read(needed).has_value());
    GIVEN("no address that the others are told") { CHECK(read(needed).value().peer_address == Address("127.0.0.1:3")); }
    GIVEN("an address that the others are told, and one that is none")
    {
        CHECK(read(needed + "  peer_address: 127.0.0.1:9\n").value().peer_address == Address("127.0.0.1:9"));
        CHECK_FALSE(read(needed + "  peer_address: elsewhere\n"));
    }
    GIVEN("a value that cannot be used")
    {
        auto settings = read(needed + "retries:\n  ratio: a lot\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find("host.yaml:9: retries.ratio: expected a number") != std::string::npos);
    }
    GIVEN("an address that is none, and one that is missing")
    {
        auto settings = read("host:\n  name: h1\n  callers_listen: nowhere\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find("host.callers_listen") != std::string::npos);
        CHECK(settings.error().message.find("host.platform: is missing; add it") != std::string::npos);
    }
}

SCENARIO("the settings file in Base is a good one")
{
    auto reader = Core::SettingsReader::load(std::string(LILAC_SOURCE_DIRECTORY) + "/Base/host.yaml");
    REQUIRE(reader);
    Serving::read_host_settings(reader.value());
    auto finished = reader.value().finish();
    INFO((finished ? "" : finished.error().message));
    CHECK(finished);
}
