/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/TokenRelay.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <vector>

using Delivery::TokenRelay;
using Delivery::TokenVerdict;

static constexpr AttemptNumber first_attempt { 1 };

SCENARIO("tokens pass once, in order, from one execution")
{
    TokenRelay relay(first_attempt);
    CHECK(relay.accept(first_attempt, "e1", 0) == TokenVerdict::Deliver);
    CHECK(relay.accept(first_attempt, "e1", 1) == TokenVerdict::Deliver);

    WHEN("a resumed stream overlaps") { CHECK(relay.accept(first_attempt, "e1", 1) == TokenVerdict::Duplicate); }
    WHEN("a token is missing") { CHECK(relay.accept(first_attempt, "e1", 3) == TokenVerdict::Gap); }
    WHEN("a token of another execution arrives")
    {
        CHECK(relay.accept(first_attempt, "e2", 2) == TokenVerdict::Foreign);
    }
    WHEN("a token of an abandoned attempt arrives")
    {
        CHECK(relay.accept(AttemptNumber(0), "e1", 2) == TokenVerdict::Foreign);
    }
    WHEN("another attempt is started after tokens were delivered")
    {
        CHECK_FALSE(relay.begin_next_attempt());
        CHECK(relay.current_attempt() == first_attempt);
    }
}

SCENARIO("an attempt can be abandoned before its first token")
{
    TokenRelay relay(first_attempt);
    REQUIRE(relay.begin_next_attempt());
    CHECK(relay.accept(first_attempt, "e1", 0) == TokenVerdict::Foreign);
    CHECK(relay.accept(AttemptNumber(2), "e2", 0) == TokenVerdict::Deliver);
}

SCENARIO("a resumed caller goes on with the execution it began with")
{
    TokenRelay relay(first_attempt, 5);
    relay.pin_execution("e1");
    CHECK(relay.accept(first_attempt, "e2", 5) == TokenVerdict::Foreign);
    CHECK(relay.accept(first_attempt, "e1", 5) == TokenVerdict::Deliver);
    CHECK_FALSE(relay.begin_next_attempt());
}

TEST_CASE("whatever comes, what passes is one execution's tokens from the first on", "[property]")
{
    struct Arrival {
        u32 attempt;
        u32 execution;
        u32 offset;
        bool gives_up;
    };
    rc::prop("token relay", [] {
        TokenRelay relay(first_attempt);
        std::vector<std::pair<std::string, u64>> passed;
        auto count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i) {
            Arrival arrival { *rc::gen::inRange(1u, 4u), *rc::gen::inRange(0u, 3u), *rc::gen::inRange(0u, 6u),
                *rc::gen::inRange(0, 8) == 0 };
            if (arrival.gives_up) {
                RC_ASSERT(relay.begin_next_attempt() == passed.empty());
                continue;
            }
            auto execution = "e" + std::to_string(arrival.execution);
            auto is_current = AttemptNumber(arrival.attempt) == relay.current_attempt();
            if (relay.accept(AttemptNumber(arrival.attempt), execution, arrival.offset) == TokenVerdict::Deliver) {
                RC_ASSERT(is_current);
                passed.emplace_back(execution, arrival.offset);
            }
        }
        for (size_t i = 0; i < passed.size(); ++i) {
            RC_ASSERT(passed[i].first == passed[0].first);
            RC_ASSERT(passed[i].second == i);
        }
    });
}
