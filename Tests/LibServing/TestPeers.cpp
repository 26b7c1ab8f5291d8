/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PeerUse.h>
#include <LibServing/Reachability.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Serving;

static BackendPointer add_engine(BackendTable& table, std::string const& id)
{
    BackendServer server;
    server.id = EngineId(id);
    server.service = ServiceName("models");
    server.address = Address("127.0.0.1:1000");
    return table.update(server, Instant { 1s });
}

SCENARIO("hosts add up what they tell each other of engines")
{
    BackendTable own_table;
    auto own_engine = add_engine(own_table, "e1");
    own_engine->engine.own_generations = 2;
    own_engine->engine.own_tokens = 5000;
    own_engine->engine.own_unread_tokens = 3000;
    OwnUse own;

    BackendTable other_table;
    auto engine = add_engine(other_table, "e1");
    PeerUse use;
    Instant const now { 50s };
    MemberId const host("host-1");
    use.apply(host, own.full_state(own_table), other_table, now);
    CHECK(engine->engine.peer_generations == 2);
    CHECK(engine->engine.peer_tokens == 5000);
    CHECK(engine->engine.peer_unread_tokens == 3000);

    WHEN("nothing notable changes")
    {
        own_engine->engine.own_tokens += 100;
        CHECK_FALSE(own.delta(own_table).has_value());
    }
    WHEN("a prompt has been read")
    {
        own_engine->engine.own_unread_tokens = 0;
        auto changes = own.delta(own_table);
        REQUIRE(changes.has_value());
        use.apply(host, *changes, other_table, now);
        CHECK(engine->engine.peer_unread_tokens == 0);
        CHECK(engine->engine.peer_generations == 2);
    }
    WHEN("a generation there has to leave and is not copied yet")
    {
        own_engine->engine.own_uncopied_tokens = 2500;
        auto changes = own.delta(own_table);
        REQUIRE(changes.has_value());
        use.apply(host, *changes, other_table, now);
        THEN("the others know that the engine's link is busy, until it has been copied")
        {
            CHECK(engine->engine.uncopied_tokens() == 2500);
            own_engine->engine.own_uncopied_tokens = 0;
            use.apply(host, *own.delta(own_table), other_table, now);
            CHECK(engine->engine.uncopied_tokens() == 0);
        }
    }
    WHEN("the engine goes off the list and runs on")
    {
        other_table.remove(EngineId("e1"), now);
        own_table.remove(EngineId("e1"), now);
        own_engine->engine.own_uncopied_tokens = 2500;
        THEN("what its link still has to carry is told, until it has surely ended")
        {
            auto changes = own.delta(own_table);
            REQUIRE(changes.has_value());
            use.apply(host, *changes, other_table, now);
            CHECK(engine->engine.uncopied_tokens() == 2500);
            own_table.expire_removed(now + 1min);
            CHECK_FALSE(own.delta(own_table).has_value());
        }
    }
    WHEN("a copy is on its way to the engine")
    {
        own_engine->engine.own_incoming_tokens = 4000;
        use.apply(host, *own.delta(own_table), other_table, now);
        THEN("the others know that its link is busy, until it is there")
        {
            CHECK(engine->engine.incoming_tokens() == 4000);
            own_engine->engine.own_incoming_tokens = 0;
            use.apply(host, *own.delta(own_table), other_table, now);
            CHECK(engine->engine.incoming_tokens() == 0);
        }
    }
    WHEN("a second host tells of its own")
    {
        use.apply(MemberId("host-2"), own.full_state(own_table), other_table, now);
        CHECK(engine->engine.peer_generations == 4);
    }
    WHEN("a whole message leaves an engine out")
    {
        own_engine->engine = {};
        use.apply(host, own.full_state(own_table), other_table, now);
        CHECK(engine->engine.peer_tokens == 0);
    }
    WHEN("the host falls silent")
    {
        CHECK(use.forget_silent(other_table, now + PeerUse::min_silence_limit).empty());
        CHECK(use.forget_silent(other_table, now + PeerUse::min_silence_limit + 1ms) == std::vector { host });
        CHECK(engine->engine.peer_tokens == 0);
        CHECK(engine->engine.peer_generations == 0);
    }
    WHEN("an engine comes into the table after it was told of")
    {
        BackendTable late_table;
        PeerUse early;
        early.apply(host, own.full_state(own_table), late_table, now);
        auto late = add_engine(late_table, "e1");
        early.apply_to(*late);
        CHECK(late->engine.peer_tokens == 5000);
    }
}

SCENARIO("a host tells a partition by who is silent")
{
    Reachability reach(FailureDomainId("hall-a"));
    Instant now { 100s };
    CHECK_FALSE(reach.is_partitioned(now));
    reach.record_message(Address("10.0.0.1:1"), { FailureDomainId("hall-a"), 400ms }, now);
    reach.record_message(Address("10.0.0.2:1"), { FailureDomainId("hall-b"), 400ms }, now);
    reach.record_message(Address("10.0.0.3:1"), { FailureDomainId("hall-b"), 400ms }, now);

    CHECK_FALSE(reach.is_partitioned(now + 900ms));
    WHEN("one host of another domain is silent")
    {
        reach.record_message(Address("10.0.0.1:1"), now + 2s);
        reach.record_message(Address("10.0.0.2:1"), now + 2s);
        CHECK(reach.is_reachable(Address("10.0.0.2:1"), now + 2s));
        CHECK_FALSE(reach.is_reachable(Address("10.0.0.3:1"), now + 2s));
        CHECK(reach.silent_domains(now + 2s).empty());
    }
    WHEN("all hosts of another domain are silent")
    {
        reach.record_message(Address("10.0.0.1:1"), now + 2s);
        CHECK(reach.silent_domains(now + 2s) == std::vector { FailureDomainId("hall-b") });
        CHECK_FALSE(reach.is_partitioned(now + 2s));
    }
    WHEN("all are silent")
    {
        CHECK(reach.is_partitioned(now + 2s));
        THEN("after a long time they are taken to be gone")
        {
            CHECK_FALSE(reach.is_partitioned(now + 100s));
            CHECK(reach.silent_domains(now + 100s).empty());
        }
    }
    WHEN("the platform does not answer")
    {
        reach.set_platform_unavailable();
        CHECK(reach.is_partitioned(now));
        reach.set_platform_available();
        CHECK_FALSE(reach.is_partitioned(now));
    }
    THEN("one host alone looks after each engine, and another one does when it is silent")
    {
        FailureDomainId const unheard("hall-c");
        Reachability other(FailureDomainId("hall-b"));
        other.record_message(Address("10.0.0.9:1"), { FailureDomainId("hall-a"), 400ms }, now);
        Reachability mine(FailureDomainId("hall-a"));
        mine.record_message(Address("10.0.0.8:1"), { FailureDomainId("hall-b"), 400ms }, now);
        for (int i = 0; i < 20; ++i) {
            auto engine = "engine-" + std::to_string(i);
            bool const by_me = mine.is_responsible_for(Address("10.0.0.9:1"), engine, unheard, now);
            bool const by_other = other.is_responsible_for(Address("10.0.0.8:1"), engine, unheard, now);
            CHECK(by_me != by_other);
            CHECK(mine.is_responsible_for(Address("10.0.0.9:1"), engine, unheard, now + 5s));
            AND_THEN("a host of the engine's own domain goes first")
            {
                CHECK(mine.is_responsible_for(Address("10.0.0.9:1"), engine, FailureDomainId("hall-a"), now));
                CHECK_FALSE(other.is_responsible_for(Address("10.0.0.8:1"), engine, FailureDomainId("hall-a"), now));
            }
        }
    }
}

SCENARIO("one host of a small domain reads the platform for all, two of a large one")
{
    Instant const now { 100s };
    auto address = [](int host) { return Address("10.0.0." + std::to_string(host) + ":1"); };
    int first_readers = 0;
    auto readers_among = [&](int count, bool with_other_domain, std::set<int> const& turned_away = {}) {
        std::set<int> readers;
        first_readers = 0;
        for (int own = 0; own < count; ++own) {
            Reachability reach(FailureDomainId("hall-a"));
            for (int other = 0; other < count; ++other) {
                if (other != own)
                    reach.record_message(
                        address(other), { FailureDomainId("hall-a"), 400ms, turned_away.contains(other) }, now);
            }
            if (with_other_domain)
                reach.record_message(address(99), { FailureDomainId("hall-b"), 400ms }, now);
            if (reach.reads_platform(address(own), now))
                readers.insert(own);
            first_readers += reach.is_primary_reader(address(own), now) ? 1 : 0;
        }
        return readers;
    };
    CHECK(readers_among(1, true).size() == 1);
    CHECK(readers_among(3, true).size() == 1);
    CHECK(readers_among(3, false).size() == 2);
    CHECK(readers_among(26, true).size() == 2);
    THEN("just one of them passes on what it reads") { CHECK(first_readers == 1); }
    THEN("one that the platform turns away is not counted on")
    {
        auto before = readers_among(3, true);
        auto after = readers_among(3, true, before);
        CHECK(std::ranges::any_of(after, [&](int reader) { return !before.contains(reader); }));
    }
    THEN("changes are told to a reader of each other domain")
    {
        Reachability reach(FailureDomainId("hall-a"));
        reach.record_message(address(1), { FailureDomainId("hall-b"), 400ms }, now);
        reach.record_message(address(2), { FailureDomainId("hall-b"), 400ms }, now);
        reach.record_message(address(3), { FailureDomainId("hall-c"), 400ms, true }, now);
        // Of a domain whose only host heard is turned away by the platform that one is told all the same: it tells the
        // others.
        CHECK(reach.remote_receivers(0, now) == std::vector { address(1), address(3) });
    }
}

SCENARIO("two hosts speak for a domain, those first that the platform answers")
{
    Instant const now { 100s };
    constexpr int count = 59;
    auto address = [](int host) { return Address("10.0.0." + std::to_string(host) + ":1"); };
    auto speakers_among = [&](std::set<int> const& silent, std::set<int> const& turned_away) {
        std::set<int> speakers;
        for (int own = 0; own < count; ++own) {
            Reachability reach(FailureDomainId("hall-a"));
            if (turned_away.contains(own))
                reach.set_platform_unavailable();
            for (int other = 0; other < count; ++other) {
                if (other != own && !silent.contains(other))
                    reach.record_message(
                        address(other), { FailureDomainId("hall-a"), 400ms, turned_away.contains(other) }, now);
            }
            if (!silent.contains(own) && reach.is_representative(address(own), now))
                speakers.insert(own);
        }
        return speakers;
    };
    auto const all = speakers_among({}, {});
    CHECK(all.size() == Reachability::representatives_per_domain);
    WHEN("one of them is silent")
    {
        std::set<int> const silent { *all.begin() };
        auto after = speakers_among(silent, {});
        CHECK(after.size() == Reachability::representatives_per_domain);
        CHECK_FALSE(after.contains(*all.begin()));
    }
    WHEN("the platform turns both away")
    {
        auto after = speakers_among({}, all);
        CHECK(after.size() == Reachability::representatives_per_domain);
        CHECK_FALSE(after.contains(*all.begin()));
        CHECK_FALSE(after.contains(*all.rbegin()));
    }
    WHEN("it turns all away")
    {
        std::set<int> everyone;
        for (int host = 0; host < count; ++host)
            everyone.insert(host);
        THEN("two speak all the same") { CHECK(speakers_among({}, everyone) == all); }
    }
}

SCENARIO("one host of all domains reads changes promptly for all")
{
    Instant const now { 100s };
    auto address = [](std::string const& domain, int host) {
        return Address("10.0." + domain.substr(domain.size() - 1) + '.' + std::to_string(host) + ":1");
    };
    std::vector<std::string> const domains { "hall-1", "hall-2", "hall-3" };
    constexpr int hosts = 5;
    auto leaders = [&](std::string const& silent, std::string const& turned_away) {
        std::vector<std::string> found;
        for (auto const& domain : domains) {
            for (int own = 0; own < hosts; ++own) {
                Reachability reach { FailureDomainId(domain) };
                if (domain == turned_away)
                    reach.set_platform_unavailable();
                for (auto const& other : domains) {
                    // Of other domains only two hosts are heard.
                    for (int host = 0; host < (other == domain ? hosts : 2); ++host) {
                        bool const is_reachable
                            = (other != domain || host != own) && (other == domain || other != silent);
                        if (is_reachable)
                            reach.record_message(
                                address(other, host), { FailureDomainId(other), 400ms, other == turned_away }, now);
                    }
                }
                if (reach.is_leading_reader(address(domain, own), now))
                    found.push_back(domain);
            }
        }
        return found;
    };
    CHECK(leaders("", "") == std::vector<std::string> { "hall-1" });
    WHEN("the platform turns that domain away")
    {
        CHECK(leaders("", "hall-1") == std::vector<std::string> { "hall-2" });
    }
    WHEN("that domain is cut off from the others")
    {
        THEN("it reads for itself, and another one for the rest")
        {
            CHECK(leaders("hall-1", "") == std::vector<std::string> { "hall-1", "hall-2" });
        }
    }
}

SCENARIO("another domain is told through the host last heard of it, and through any where none is heard")
{
    Reachability reach(FailureDomainId("hall-a"));
    Instant const now { 100s };
    constexpr int count = 59;
    auto address = [](int host) { return Address("10.0.0." + std::to_string(host) + ":1"); };
    std::vector<KnownHost> rows;
    for (int host = 0; host < count; ++host)
        rows.push_back({ address(host), FailureDomainId("hall-b") });
    reach.update_known_hosts(rows, now);
    THEN("two hosts are tried at a time, and each of them comes in its turn")
    {
        std::set<Address> tried;
        for (u64 draw = 0; draw < 400; ++draw) {
            auto receivers = reach.remote_receivers(draw, now);
            CHECK(receivers.size() == Reachability::probes_per_silent_domain);
            tried.insert(receivers.begin(), receivers.end());
        }
        CHECK(tried.size() == count);
    }
    WHEN("one has spoken")
    {
        reach.record_message(address(7), { FailureDomainId("hall-b"), 500ms }, now);
        CHECK(reach.remote_receivers(1, now + 400ms) == std::vector { address(7) });
        CHECK(reach.domain_message_age(FailureDomainId("hall-b"), now + 400ms) == 400ms);
        AND_WHEN("another one has spoken since")
        {
            reach.record_message(address(8), { FailureDomainId("hall-b"), 500ms }, now + 300ms);
            CHECK(reach.remote_receivers(1, now + 400ms) == std::vector { address(8) });
        }
        AND_WHEN("it has been silent for long")
        {
            CHECK(reach.remote_receivers(1, now + 3s).size() == Reachability::probes_per_silent_domain);
        }
    }
}

SCENARIO("a host counts all that may be serving, also those that it does not hear")
{
    Reachability reach(FailureDomainId("hall-a"));
    Instant now { 100s };
    auto host = [](std::string const& domain, int number) {
        return KnownHost { Address(domain + ':' + std::to_string(number)), FailureDomainId(domain) };
    };
    auto heard = [&](KnownHost const& known, u32 hosts_of_domain = 0) {
        reach.record_message(known.address, { known.domain, 500ms, false, hosts_of_domain }, now);
    };
    heard(host("hall-a", 1));
    THEN("it counts nothing before it has read the platform's table")
    {
        CHECK_FALSE(reach.fleet_size(now).has_value());
        CHECK(reach.own_status(500ms, now).hosts_of_domain == 0);
    }
    GIVEN("the table of hosts")
    {
        std::vector const rows { host("hall-a", 1), host("hall-a", 2), host("hall-b", 1), host("hall-b", 2) };
        reach.update_known_hosts(rows, now);
        CHECK(reach.fleet_size(now) == 5U);
        CHECK(reach.own_status(500ms, now).hosts_of_domain == 3);
        WHEN("a host of its domain that the table did not name is heard")
        {
            heard(host("hall-a", 3));
            CHECK(reach.fleet_size(now) == 6U);
            CHECK(reach.own_status(500ms, now).hosts_of_domain == 4);
        }
        WHEN("another domain says how many hosts it has")
        {
            heard(host("hall-b", 1), 7);
            CHECK(reach.fleet_size(now) == 10U);
            AND_WHEN("a speaker that has just started does not know yet")
            {
                heard(host("hall-b", 2), 0);
                CHECK(reach.fleet_size(now) == 10U);
            }
        }
        WHEN("a partition of an hour parts it from all others")
        {
            now += 1h;
            THEN("they count, since they may go on serving") { CHECK(reach.fleet_size(now) == 5U); }
        }
        WHEN("hosts have been silent for longer than partitions last")
        {
            now += 3h;
            heard(host("hall-a", 1));
            THEN("they count no more") { CHECK(reach.fleet_size(now) == 2U); }
        }
    }
}

SCENARIO("what all hosts of another domain have running is told by whoever speaks for it")
{
    // hall-b's first speaker has two generations of its own and hears of three of another host.
    BackendTable speaker_table;
    auto at_speaker = add_engine(speaker_table, "e1");
    at_speaker->engine.own_generations = 2;
    at_speaker->engine.own_tokens = 5000;
    OwnUse first_told { UseScope::Domain };
    PeerUse speaker_hears;
    Instant const now { 50s };
    wire::HostUse from_neighbour;
    auto& neighbour_use = *from_neighbour.add_engines();
    neighbour_use.set_engine("e1");
    neighbour_use.set_generations(3);
    neighbour_use.set_tokens(9000);
    speaker_hears.apply(MemberId("neighbour"), from_neighbour, speaker_table, now);

    BackendTable table;
    auto engine = add_engine(table, "e1");
    PeerUse use;
    auto hear = [&](wire::HostUse message, std::string const& speaker) {
        message.set_domain_speaker(speaker);
        use.apply(MemberId("hall-b"), message, table, now);
    };
    hear(first_told.full_state(speaker_table), "10.0.0.1:1");
    CHECK(engine->engine.peer_generations == 5);
    CHECK(engine->engine.peer_tokens == 14000);
    WHEN("the second speaker tells the same")
    {
        hear(OwnUse(UseScope::Domain).full_state(speaker_table), "10.0.0.2:1");
        THEN("it is not counted twice") { CHECK(engine->engine.peer_generations == 5); }
    }
    WHEN("it has heard of one that has ended")
    {
        neighbour_use.set_generations(2);
        speaker_hears.apply(MemberId("neighbour"), from_neighbour, speaker_table, now);
        hear(*first_told.delta(speaker_table), "10.0.0.1:1");
        CHECK(engine->engine.peer_generations == 4);
    }
    THEN("a host does not tell on what it has heard of another domain")
    {
        CHECK_FALSE(OwnUse(UseScope::Domain).delta(table).has_value());
        CHECK(engine->engine.domain_peer_work == EngineWork {});
    }
}
