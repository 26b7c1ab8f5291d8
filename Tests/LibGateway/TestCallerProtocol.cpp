/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerProtocol.h>
#include <Poco/JSON/Parser.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Gateway::ApiShape;
using Gateway::parse_generation_request;

SCENARIO("requests in both formats are parsed")
{
    auto completion = parse_generation_request(
        ApiShape::Completion, R"({"model":"summary","prompt":"Lane 4","stream":true,"max_tokens":20})");
    REQUIRE(completion.has_value());
    CHECK(completion.value().route == RouteName("summary"));
    CHECK(completion.value().maximum_output_tokens == 20u);
    CHECK(completion.value().stream);

    auto chat = parse_generation_request(ApiShape::Chat,
        R"({"model":"summary","messages":[{"role":"system","content":"Be short."},{"role":"user","content":"Why?"}]})");
    REQUIRE(chat.has_value());
    CHECK(chat.value().prompt == "system: Be short.\nuser: Why?\n");
}

SCENARIO("invalid requests are rejected with an error message")
{
    for (auto const* body : { "", "[]", "7", "null", "{", R"({"model":1,"prompt":"x"})", R"({"prompt":"x"})",
             R"({"model":"m"})", R"({"model":"m","prompt":""})", R"({"model":"m","prompt":["x"]})",
             R"({"model":"m","prompt":"x","max_tokens":0})", R"({"model":"m","prompt":"x","max_tokens":"many"})",
             R"({"model":"m","prompt":"x","stream":"yes"})" }) {
        INFO(body);
        auto parsed = parse_generation_request(ApiShape::Completion, body);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().kind == ErrorKind::InvalidRequest);
        CHECK_FALSE(parsed.error().message.empty());
    }
    CHECK_FALSE(parse_generation_request(ApiShape::Chat, R"({"model":"m","messages":[]})").has_value());
    CHECK_FALSE(parse_generation_request(ApiShape::Chat, R"({"model":"m","messages":[{"role":"user"}]})").has_value());
    CHECK_FALSE(parse_generation_request(ApiShape::Chat, R"({"model":"m","messages":[7]})").has_value());
    CHECK(Gateway::parse_bearer("Basic x").error().kind == ErrorKind::Unauthenticated);
    CHECK_FALSE(Gateway::parse_deadline("-1").has_value());
    CHECK_FALSE(Gateway::parse_deadline("5s").has_value());
    CHECK(Gateway::parse_deadline("250").value() == 250ms);
}

TEST_CASE("no request body terminates the process", "[property]")
{
    rc::prop("any bytes", [](std::string const& body) {
        (void)parse_generation_request(ApiShape::Completion, body);
        (void)parse_generation_request(ApiShape::Chat, body);
    });
    rc::prop("JSON with one character changed", [](u8 replacement) {
        std::string body = R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":false})";
        body[*rc::gen::inRange<size_t>(0, body.size())] = static_cast<char>(replacement);
        (void)parse_generation_request(ApiShape::Chat, body);
    });
    rc::prop("deep nesting", [] {
        auto depth = *rc::gen::inRange(1, 5000);
        (void)parse_generation_request(ApiShape::Completion, std::string(static_cast<size_t>(depth), '['));
    });
}

SCENARIO("token events are valid JSON for any token text")
{
    // Engines send JSON, so their tokens are valid UTF-8. This test uses all ASCII characters, including control
    // characters.
    rc::prop("token events", [] {
        auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
        Gateway::StreamIdentity identity { GenerationId("g"), RouteName("r"), ApiShape::Completion, 1 };
        auto event = Gateway::format_token(identity, text, 3, AttemptNumber(1));
        RC_ASSERT(event.find('\n') == std::string::npos);
        Poco::JSON::Parser parser;
        RC_ASSERT_FALSE(parser.parse(event).isEmpty());
    });
}

SCENARIO("equal prompts of two organisations never share a prefix")
{
    rc::prop("salted prefixes", [](std::string const& prompt) {
        RC_ASSERT(Gateway::salted_prefix_hash(OrganisationId("toll"), prompt)
            != Gateway::salted_prefix_hash(OrganisationId("hanak"), prompt));
    });
}

SCENARIO("a refusal states when to retry")
{
    Error error { ErrorKind::Overloaded, "full", 1500ms };
    auto body = Gateway::format_error(error, Delivery::Outcome::NotRun);
    CHECK(body.find("\"retry_after_milliseconds\":1500") != std::string::npos);
    CHECK(body.find("\"outcome\":\"not_run\"") != std::string::npos);
    CHECK(Gateway::http_status(ErrorKind::Overloaded) == 503);
    CHECK(Gateway::http_status(ErrorKind::OverLimit) == 429);
}
