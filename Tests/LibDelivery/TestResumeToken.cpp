/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/ResumeToken.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Delivery::ResumeToken;
using Delivery::SigningKey;

static SigningKey const key { "first.key", "000102030405060708090a0b0c0d0e0f" };

static ResumeToken example_token()
{
    return { GenerationId("gen-1"), AttemptNumber(2), "engine-1-7", EngineId("engine-1"), Address("127.0.0.1:9100"),
        OrganisationId("hanak"), RouteName("why-refused"), 5000 };
}

SCENARIO("a resume token is accepted only unaltered, before its expiry and with its own key")
{
    auto text = Delivery::sign(example_token(), key);
    CHECK(Delivery::signing_key_id(text).value() == key.id);
    CHECK(Delivery::verify(text, key, 4999).value() == example_token());

    WHEN("it has expired") { CHECK(Delivery::verify(text, key, 5001).error().kind == ErrorKind::Forbidden); }
    WHEN("another key is used")
    {
        SigningKey other { key.id, "ff0102030405060708090a0b0c0d0e0f" };
        CHECK(Delivery::verify(text, other, 1).error().kind == ErrorKind::Forbidden);
    }
}

TEST_CASE("no altered token is taken, and no text ends the process", "[property]")
{
    auto text = Delivery::sign(example_token(), key);
    rc::prop("one character changed", [&] {
        auto altered = text;
        auto position = *rc::gen::inRange<size_t>(0, altered.size());
        auto replacement = *rc::gen::arbitrary<char>();
        RC_PRE(altered[position] != replacement);
        altered[position] = replacement;
        RC_ASSERT_FALSE(Delivery::verify(altered, key, 1).has_value());
    });
    rc::prop("any text", [](std::string const& any) {
        RC_ASSERT_FALSE(Delivery::verify(any, key, 1).has_value());
        (void)Delivery::signing_key_id(any);
    });
}

SCENARIO("API keys are stored as their SHA-256")
{
    CHECK(Delivery::sha256_hexadecimal("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
