/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibMembership/MemberTable.h>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using Membership::GossipDetail;
using Membership::MemberChange;
using Membership::MemberRow;
using Membership::MemberTable;

static FailureDomainId const domain("hall-a");
static constexpr Duration silence = 5s;

static MemberRow row(std::string const& id, u64 incarnation)
{
    MemberRow result;
    result.id = MemberId(id);
    result.role = wire::ROLE_ROUTER;
    result.address = Address("127.0.0.1:1");
    result.incarnation = Incarnation(incarnation);
    return result;
}

static Instant at(int seconds) { return Instant() + std::chrono::seconds(seconds); }

SCENARIO("members join, restart, leave and are lost by received gossip")
{
    MemberTable own(row("router-1", 10), silence);
    MemberTable other(row("router-2", 20), silence);
    (void)own.advance_heartbeat(at(0));
    (void)other.advance_heartbeat(at(0));
    auto events = own.receive(other.gossip(domain, GossipDetail::Full), at(0));
    REQUIRE(events.size() == 1);
    CHECK(events[0].change == MemberChange::Joined);

    WHEN("only the same view is received again")
    {
        auto old_view = other.gossip(domain, GossipDetail::Full);
        for (int second = 1; second <= 5; ++second) {
            CHECK(own.advance_heartbeat(at(second)).empty());
            CHECK(own.receive(old_view, at(second)).empty());
        }
        auto lost = own.advance_heartbeat(at(6));
        THEN("the member is lost, and its old view does not bring it back")
        {
            REQUIRE(lost.size() == 1);
            CHECK(lost[0].change == MemberChange::Lost);
            CHECK(own.receive(old_view, at(7)).empty());
            CHECK(own.others().empty());
        }
        THEN("a newer heartbeat adds it again")
        {
            (void)other.advance_heartbeat(at(7));
            CHECK(own.receive(other.gossip(domain, GossipDetail::Full), at(7)).size() == 1);
        }
    }
    WHEN("the member restarts")
    {
        MemberTable restarted(row("router-2", 30), silence);
        auto again = own.receive(restarted.gossip(domain, GossipDetail::Full), at(1));
        REQUIRE(again.size() == 1);
        CHECK(again[0].change == MemberChange::Replaced);
        THEN("the view of its earlier start is ignored")
        {
            CHECK(own.receive(other.gossip(domain, GossipDetail::Full), at(1)).empty());
        }
    }
    WHEN("the member leaves")
    {
        other.set_own_leaving();
        (void)other.advance_heartbeat(at(1));
        auto leaving = own.receive(other.gossip(domain, GossipDetail::Full), at(1));
        REQUIRE(leaving.size() == 1);
        CHECK(leaving[0].change == MemberChange::Leaving);
        THEN("it owns no key any more")
        {
            for (int i = 0; i < 50; ++i)
                CHECK(own.owner_of("pool-" + std::to_string(i), wire::ROLE_ROUTER)->id == MemberId("router-1"));
        }
    }
}

SCENARIO("a member whose host's clock went back exceeds the incarnation of its earlier start")
{
    MemberTable before(row("router-1", 500), silence);
    MemberTable after(row("router-1", 100), silence);
    (void)after.receive(before.gossip(domain, GossipDetail::Full), at(0));
    CHECK(after.own().incarnation > Incarnation(500));
}

SCENARIO("members that start together do not lose each other")
{
    constexpr size_t count = 21;
    constexpr size_t fanout = 2;
    constexpr Duration limit = 8s;
    std::vector<MemberTable> members;
    std::map<Address, size_t> index_of;
    for (size_t i = 0; i < count; ++i) {
        auto own = row("member-" + std::to_string(i), 1);
        own.address = Address("127.0.0.1:" + std::to_string(i + 1));
        index_of[own.address] = i;
        members.emplace_back(own, limit);
    }
    for (auto& member : members) {
        for (auto const& other : members)
            (void)member.receive(other.gossip(domain, GossipDetail::Full), at(0));
    }
    std::mt19937 random(1);
    size_t lost = 0;
    for (int second = 1; second <= 2000; ++second) {
        for (auto& member : members)
            lost += member.advance_heartbeat(at(second)).size();
        for (auto const& member : members) {
            for (auto const& target : member.sample_targets(fanout, random))
                (void)members[index_of[target]].receive(member.gossip(domain, GossipDetail::Compact), at(second));
        }
    }
    CHECK(lost == 0);
}

SCENARIO("compact views keep known members alive and add no unknown ones")
{
    MemberTable own(row("router-1", 10), silence);
    MemberTable relay(row("router-2", 20), silence);
    MemberTable third(row("router-3", 30), silence);
    (void)relay.receive(third.gossip(domain, GossipDetail::Full), at(0));

    (void)own.receive(relay.gossip(domain, GossipDetail::Compact), at(0));
    CHECK(own.find(MemberId("router-2")));
    CHECK_FALSE(own.find(MemberId("router-3")));

    (void)own.receive(relay.gossip(domain, GossipDetail::Full), at(0));
    REQUIRE(own.find(MemberId("router-3")));
    for (int second = 1; second <= 10; ++second) {
        (void)third.advance_heartbeat(at(second));
        (void)relay.advance_heartbeat(at(second));
        (void)relay.receive(third.gossip(domain, GossipDetail::Full), at(second));
        CHECK(own.receive(relay.gossip(domain, GossipDetail::Compact), at(second)).empty());
        CHECK(own.advance_heartbeat(at(second)).empty());
    }
    CHECK(own.find(MemberId("router-3"))->address == Address("127.0.0.1:1"));
    WHEN("it restarts")
    {
        (void)relay.receive(MemberTable(row("router-3", 40), silence).gossip(domain, GossipDetail::Full), at(11));
        CHECK(own.receive(relay.gossip(domain, GossipDetail::Compact), at(11)).empty());
        auto events = own.receive(relay.gossip(domain, GossipDetail::Full), at(11));
        REQUIRE(events.size() == 1);
        CHECK(events[0].change == MemberChange::Replaced);
    }
}

SCENARIO("pools change owner only when their owner leaves")
{
    MemberTable table(row("router-0", 1), silence);
    for (int i = 1; i < 6; ++i)
        (void)table.receive(
            MemberTable(row("router-" + std::to_string(i), 1), silence).gossip(domain, GossipDetail::Full), at(0));
    std::map<std::string, MemberId> before;
    std::set<MemberId> owners;
    for (int i = 0; i < 300; ++i) {
        auto key = "pool-" + std::to_string(i);
        before[key] = table.owner_of(key, wire::ROLE_ROUTER)->id;
        owners.insert(before[key]);
    }
    CHECK(owners.size() == 6);
    MemberTable leaver(row("router-3", 1), silence);
    leaver.set_own_leaving();
    (void)leaver.advance_heartbeat(at(0));
    (void)table.receive(leaver.gossip(domain, GossipDetail::Full), at(0));
    for (auto const& [key, owner] : before) {
        auto now = table.owner_of(key, wire::ROLE_ROUTER)->id;
        CHECK(now != MemberId("router-3"));
        if (owner != MemberId("router-3"))
            CHECK(now == owner);
    }
    CHECK_FALSE(table.owner_of("pool-1", wire::ROLE_GATEWAY));
}
