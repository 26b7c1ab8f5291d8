/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Settings.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

static Core::SettingsReader read(std::string const& text)
{
    auto reader = Core::SettingsReader::parse("host.yaml", text);
    REQUIRE(reader.has_value());
    return reader.value();
}

SCENARIO("all errors in settings are reported at once, each with file, line, key and remedy")
{
    GIVEN("valid settings")
    {
        auto reader = read("node:\n  member: gateway-1\n  period: 250ms\n  peers: [127.0.0.1:1, '[::1]:2']\n");
        CHECK(reader.text("node.member") == "gateway-1");
        CHECK(reader.duration_or("node.period", 1s) == 250ms);
        CHECK(reader.address_list("node.peers").size() == 2);
        CHECK(reader.whole_number_or("node.limit", 5, 1, 10) == 5);
        THEN("there is no error") { CHECK(reader.finish().has_value()); }
    }
    GIVEN("an unknown key, a missing unit and an address with a host name")
    {
        auto reader = read("node:\n  period: 250\n  adress: 127.0.0.1:80\n  listen: localhost:80\n");
        reader.duration_or("node.period", 1s);
        reader.address("node.listen");
        auto result = reader.finish();
        REQUIRE_FALSE(result.has_value());
        auto const& message = result.error().message;
        THEN("all three are reported at once")
        {
            CHECK(result.error().kind == ErrorKind::InvalidSettings);
            CHECK(message.find("host.yaml:2: node.period: expected a duration with its unit") != std::string::npos);
            CHECK(message.find("host.yaml:3: node.adress: is not a setting") != std::string::npos);
            CHECK(message.find("host.yaml:4: node.listen: expected an IP number") != std::string::npos);
        }
    }
    GIVEN("a required key that is missing")
    {
        auto reader = read("node: {}\n");
        reader.text("node.member");
        CHECK(reader.finish().error().message.find("node.member: is missing; add it") != std::string::npos);
    }
    GIVEN("a number out of range")
    {
        auto reader = read("limit: 99\n");
        CHECK(reader.whole_number_or("limit", 5, 1, 10) == 5);
        CHECK(reader.finish().error().message.find("from 1 to 10") != std::string::npos);
    }
    GIVEN("text that is not YAML") { CHECK_FALSE(Core::SettingsReader::parse("x", "a: [").has_value()); }
    GIVEN("a file that is not there") { CHECK_FALSE(Core::SettingsReader::load("/nonexistent").has_value()); }
}

// Guards against processes that do not start with a bound that is given as a fraction.
SCENARIO("durations are numbers in any notation, with a unit")
{
    CHECK(Core::parse_duration("8s") == 8s);
    CHECK(Core::parse_duration("8.5s") == 8500ms);
    CHECK(Core::parse_duration("8.0s") == 8s);
    CHECK(Core::parse_duration("0.25ms") == 250us);
    CHECK(Core::parse_duration("2000.5ms") == 2'000'500us);
    CHECK(Core::parse_duration("1.5m") == 90s);
    CHECK(Core::parse_duration("1e+03ms") == 1s);
    CHECK(Core::parse_duration("5e-07s") == 500ns);
    CHECK(Core::parse_duration("0s") == 0s);
    CHECK(Core::parse_duration("525600m") == std::chrono::hours(8760));
    for (auto const* text :
        { "8.5", "-1s", "-0s", "nans", "infs", "1e9m", "525601m", "8.5.1s", "8,5s", "8 s", "8.5x", "", "." })
        CHECK_FALSE(Core::parse_duration(text));
    GIVEN("a template whose value is not known")
    {
        auto reader = read("window: s\n");
        CHECK(reader.duration_or("window", 10s) == 10s);
        CHECK(reader.finish().has_value());
    }
}

TEST_CASE("no settings text terminates the process", "[property]")
{
    rc::prop("any text is parsed or rejected", [](std::string const& text) {
        auto reader = Core::SettingsReader::parse("fuzz", text);
        if (!reader)
            return;
        reader.value().text("node.member");
        reader.value().duration_or("node.period", 1s);
        reader.value().address_list("node.peers");
        (void)reader.value().finish();
    });
    rc::prop("a formatted duration parses to the same value", [](u16 milliseconds) {
        RC_ASSERT(Core::parse_duration(std::to_string(milliseconds) + "ms") == std::chrono::milliseconds(milliseconds));
    });
    rc::prop("a number with a fraction is that many seconds", [](u16 seconds, u16 part) {
        auto const thousandths = part % 1000;
        auto const digits = std::to_string(1000 + thousandths).substr(1);
        auto const expected = std::chrono::seconds(seconds) + std::chrono::milliseconds(thousandths);
        RC_ASSERT(Core::parse_duration(std::to_string(seconds) + '.' + digits + "s") == expected);
    });
    rc::prop("any text is parsed as a duration or rejected",
        [](std::string const& text) { (void)Core::parse_duration(text); });
}
