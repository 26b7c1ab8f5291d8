/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/Rollouts.h>
#include <LibRollout/Tallies.h>
#include <catch2/catch.hpp>

using namespace Rollout;

namespace {

ServiceName const service { "models" };
Instant const start { 100s };

struct Host {
    Rollouts rollouts { {},
        [this](ServiceName const&, std::optional<SoftwareVersion> const& target) { this->target = target; },
        [this](KnownRollout const& rollout) { this->stages.push_back(rollout.record->stage); } };
    std::optional<SoftwareVersion> target;
    std::vector<Stage> stages;

    void order(u64 version, std::string const& to = "v2")
    {
        this->rollouts.apply_order({ service, SoftwareVersion(to), 12s, version }, start);
    }
    void record(u64 version, Stage stage, u64 order_version = 5)
    {
        this->rollouts.apply_record(service, { order_version, SoftwareVersion("v2"), stage, {}, {} }, version, start);
    }
    [[nodiscard]] double target_share() const
    {
        int count = 0;
        for (int i = 0; i < 10'000; ++i)
            count += this->rollouts.side_for(service, std::to_string(i)).side == Side::Target ? 1 : 0;
        return count / 10'000.0;
    }
};

}

SCENARIO("a host sends the target what the record allows")
{
    Host host;
    CHECK(host.rollouts.side_for(service, "1") == SideChoice {});
    WHEN("it knows the order but no record")
    {
        host.order(5);
        CHECK(host.target == SoftwareVersion("v2"));
        THEN("everything goes to the former version")
        {
            CHECK(host.target_share() == 0);
            CHECK(host.rollouts.side_for_repeats(service).side == Side::Former);
            CHECK(host.rollouts.side_for_moves(service) == Side::Former);
        }
    }
    WHEN("the trial has begun")
    {
        host.order(5);
        host.record(6, Stage::Trial);
        CHECK(host.target_share() == Approx(0.09).margin(0.01));
        THEN("repeats go to the former version")
        {
            CHECK(host.rollouts.side_for_repeats(service).side == Side::Former);
        }
        AND_WHEN("later records arrive out of order")
        {
            host.record(9, Stage::RolledBack);
            host.record(8, Stage::Half);
            CHECK(host.target_share() == 0);
            CHECK(host.stages == std::vector { Stage::Trial, Stage::RolledBack });
        }
        AND_WHEN("a later order names another version")
        {
            host.order(12, "v3");
            THEN("the record of the former order does not apply to it")
            {
                CHECK(host.target == SoftwareVersion("v3"));
                CHECK(host.target_share() == 0);
            }
        }
    }
    WHEN("the record arrives before the order")
    {
        host.record(6, Stage::Full);
        host.order(5);
        CHECK(host.target_share() == 1);
        THEN("the former version serves what the target does not accept")
        {
            CHECK(host.rollouts.side_for(service, "1") == SideChoice { Side::Target, true });
            CHECK(host.rollouts.side_for_repeats(service) == SideChoice {});
        }
        CHECK_FALSE(host.rollouts.is_retired(service, Side::Former));
        AND_WHEN("the former version is retired")
        {
            host.record(7, Stage::Retiring);
            CHECK(host.rollouts.is_retired(service, Side::Former));
            CHECK(host.rollouts.side_for(service, "1") == SideChoice { Side::Target, false });
            CHECK_FALSE(host.rollouts.is_retired(service, Side::Target));
            CHECK(host.rollouts.side_for_moves(service) == Side::Target);
        }
    }
    WHEN("the operator withdraws the order")
    {
        host.order(5);
        host.rollouts.withdraw_order(service, 7);
        CHECK(host.rollouts.side_for(service, "1") == SideChoice {});
        CHECK_FALSE(host.target);
        THEN("an old list does not restore it, and a new one does")
        {
            host.rollouts.apply_orders({ { service, SoftwareVersion("v2"), 12s, 8 } }, 9, start);
            CHECK(host.target);
            host.rollouts.apply_orders({}, 7, start);
            CHECK(host.target);
            host.rollouts.apply_orders({}, 10, start);
            CHECK_FALSE(host.target);
        }
    }
}

SCENARIO("an order is as old as the host that has known it longest says")
{
    Host host;
    host.order(5);
    host.rollouts.apply_record(service, { 5, SoftwareVersion("v2"), Stage::Trial, 4s, {} }, 6, start + 1s);
    CHECK(host.rollouts.find(service)->age(start + 3s) == 6s);
}

SCENARIO("tallies add up over their sources")
{
    Tallies tallies;
    AnswersByRoute answers;
    answers[RouteName("lookup")].target.count = 4;
    tallies.apply("a", { 5, 7, 2, answers }, start);
    tallies.apply("b", { 5, 6, 1, answers }, start);
    auto const sum = tallies.sum(5, { "a", "b" }, start);
    CHECK(sum.applied_record == 6);
    CHECK(sum.former_in_progress == 3);
    CHECK(sum.answers.at(RouteName("lookup")).target.count == 8);
    THEN("a source that has not reported applies no record")
    {
        CHECK(tallies.sum(5, { "a", "b", "c" }, start).applied_record == 0);
    }
    THEN("a silent source's answers count, and its requests do not")
    {
        auto const later = start + 3s;
        CHECK(tallies.has_silent_sources(later));
        CHECK(tallies.sum(5, {}, later).answers.at(RouteName("lookup")).target.count == 8);
        CHECK(tallies.sum(5, {}, later).former_in_progress == 0);
    }
    THEN("reports about another order do not count") { CHECK(tallies.sum(6, { "a" }, start).answers.empty()); }
}
