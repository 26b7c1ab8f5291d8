/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <catch2/catch.hpp>
#include <platform/Dialect.h>

static Serving::BackendResponseHead decode(Http::Status status, std::vector<std::pair<std::string, std::string>> fields)
{
    Http::Response response(status, Http::http_1_1);
    for (auto const& [name, value] : fields)
        response.insert(name, value);
    return Adapter::Dialect::decode_response(response.base());
}

static constexpr auto attempt = "Lilactiller-Attempt-Id";
static constexpr auto not_run = "Lilactiller-Not-Executed";
static constexpr auto signature = "Lilactiller-Response-Stamp";

// Guards against damaged heads that prove something.
SCENARIO("a head that contradicts itself names no request, and is neither a success nor a refusal")
{
    GIVEN("a success that reports that the request has not run")
    {
        auto const head = decode(Http::Status::ok, { { attempt, "a" }, { not_run, "1" }, { signature, "s" } });
        CHECK_FALSE(head.is_not_run);
        CHECK_FALSE(head.is_signed);
    }
    GIVEN("a failure that reports so")
    {
        auto const status = GENERATE(Http::Status::service_unavailable, Http::Status::too_many_requests,
            Http::Status::bad_request, Http::Status::gateway_timeout);
        CHECK(decode(status, { { attempt, "a" }, { not_run, "1" } }).is_not_run);
        CHECK_FALSE(decode(status, { { attempt, "a" } }).is_not_run);
    }
    GIVEN("two names")
    {
        auto const head = decode(Http::Status::ok, { { attempt, "a" }, { attempt, "b" } });
        CHECK(head.attempt != "a");
        CHECK(head.attempt != "b");
        CHECK_FALSE(head.attempt.empty());
    }
}
