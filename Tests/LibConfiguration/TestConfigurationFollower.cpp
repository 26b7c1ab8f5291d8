/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/ConfigurationFollower.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Configuration::ConfigurationFollower;
using Configuration::Document;

static std::vector<wire::LogEntry> make_log(size_t count)
{
    std::vector<wire::LogEntry> entries;
    for (size_t i = 1; i <= count; ++i) {
        wire::LogEntry entry;
        entry.set_revision(i);
        entry.mutable_change()->mutable_put_model()->set_id("model-" + std::to_string(i % 7));
        entries.push_back(entry);
    }
    return entries;
}

SCENARIO("a process that lags behind catches up from a peer")
{
    auto log = make_log(400);
    ConfigurationFollower ahead;
    ahead.apply(log);

    GIVEN("a peer that is a few revisions behind")
    {
        auto response = ahead.entries_after(Revision(390));
        CHECK_FALSE(response.has_snapshot());
        CHECK(response.entries_size() == 10);
    }
    GIVEN("a peer that has just started")
    {
        auto response = ahead.entries_after(Revision(0));
        REQUIRE(response.has_snapshot());
        ConfigurationFollower fresh;
        CHECK(fresh.apply(response.snapshot()));
        CHECK(fresh.revision() == Revision(400));
    }
    GIVEN("a peer that is ahead") { CHECK(ahead.entries_after(Revision(500)).entries_size() == 0); }
}

TEST_CASE("in whatever order news comes, a process only moves forward", "[property]")
{
    auto log = make_log(30);
    std::vector<Document> states(1);
    for (auto const& entry : log) {
        states.push_back(states.back());
        states.back().apply(entry);
    }
    rc::prop("configuration follower", [&] {
        ConfigurationFollower follower;
        auto steps = *rc::gen::inRange(0, 30);
        for (int i = 0; i < steps; ++i) {
            auto before = follower.revision();
            auto from = *rc::gen::inRange<size_t>(0, log.size());
            auto length = *rc::gen::inRange<size_t>(0, log.size() - from + 1);
            bool moved = false;
            if (*rc::gen::inRange(0, 4) == 0)
                moved = follower.apply(states[from].snapshot());
            else
                moved = follower.apply(std::span(log).subspan(from, length));
            RC_ASSERT(follower.revision() >= before);
            RC_ASSERT(moved == (follower.revision() > before));
            // The document is exactly the state of its revision.
            auto const& expected = states[follower.revision().value()];
            RC_ASSERT(follower.document().snapshot().SerializeAsString() == expected.snapshot().SerializeAsString());
        }
    });
}
