/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/PlatformJson.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

SCENARIO("formatted bodies of the platform parse to the same values")
{
    Platform::Transaction transaction { { { "a", 3 } }, { { "b", "x\"y" }, { "c", std::nullopt } } };
    auto read = Platform::parse_transaction(Platform::format_transaction(transaction));
    REQUIRE(read.has_value());
    CHECK(read.value().conditions[0].expected_version == 3);
    CHECK(read.value().writes[0].value == "x\"y");
    CHECK_FALSE(read.value().writes[1].value);

    Platform::BackendServerRecord record { EngineId("e"), Address("127.0.0.1:1"), FailureDomainId("hall-a"),
        ModelId("m"), ServiceName(""), TokenCount(24000), Platform::BackendServerState::Leaving, false };
    CHECK(Platform::parse_backend_servers(Platform::format_backend_servers({ record })).value().front() == record);
}

TEST_CASE("no body from the platform terminates the process", "[property]")
{
    rc::prop("any text", [](std::string const& text) {
        (void)Platform::parse_rows(text);
        (void)Platform::parse_transaction(text);
        (void)Platform::parse_backend_servers(text);
    });
    for (auto const* text : { "[]", "1", "null", R"({"rows":1})", R"({"rows":[1]})", R"({"hosts":[{"id":1}]})", "" }) {
        CHECK_NOTHROW(Platform::parse_rows(text));
        CHECK_NOTHROW(Platform::parse_transaction(text));
        CHECK_NOTHROW(Platform::parse_backend_servers(text));
    }
}
