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

SCENARIO("hosts add up the engine use that they report to each other")
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

    WHEN("the use changes by less than the minimum for a delta")
    {
        own_engine->engine.own_tokens += 100;
        CHECK_FALSE(own.delta(own_table).has_value());
    }
    WHEN("a prompt has been read")
    {
        own_engine->engine.own_unread_tokens = 0;
        auto delta = own.delta(own_table);
        REQUIRE(delta.has_value());
        use.apply(host, *delta, other_table, now);
        CHECK(engine->engine.peer_unread_tokens == 0);
        CHECK(engine->engine.peer_generations == 2);
    }
    WHEN("a generation has to leave the engine and is not copied yet")
    {
        own_engine->engine.own_uncopied_tokens = 2500;
        auto delta = own.delta(own_table);
        REQUIRE(delta.has_value());
        use.apply(host, *delta, other_table, now);
        THEN("the other hosts know that the engine's link is busy until the generation has been copied")
        {
            CHECK(engine->engine.uncopied_tokens() == 2500);
            own_engine->engine.own_uncopied_tokens = 0;
            use.apply(host, *own.delta(own_table), other_table, now);
            CHECK(engine->engine.uncopied_tokens() == 0);
        }
    }
    WHEN("the engine is removed from the list and continues to run")
    {
        other_table.remove(EngineId("e1"), now);
        own_table.remove(EngineId("e1"), now);
        own_engine->engine.own_uncopied_tokens = 2500;
        THEN("the tokens that are still to be copied are reported until the engine must have terminated")
        {
            auto delta = own.delta(own_table);
            REQUIRE(delta.has_value());
            use.apply(host, *delta, other_table, now);
            CHECK(engine->engine.uncopied_tokens() == 2500);
            own_table.expire_removed(now + 1min);
            CHECK_FALSE(own.delta(own_table).has_value());
        }
    }
    WHEN("a copy is being sent to the engine")
    {
        own_engine->engine.own_incoming_tokens = 4000;
        use.apply(host, *own.delta(own_table), other_table, now);
        THEN("the other hosts know that its link is busy until the copy has arrived")
        {
            CHECK(engine->engine.incoming_tokens() == 4000);
            own_engine->engine.own_incoming_tokens = 0;
            use.apply(host, *own.delta(own_table), other_table, now);
            CHECK(engine->engine.incoming_tokens() == 0);
        }
    }
    WHEN("a generation will stream for some time")
    {
        own_engine->engine.own_streams = 1;
        use.apply(host, *own.delta(own_table), other_table, now);
        CHECK(engine->engine.streams() == 1);
        THEN("the count is dropped with the host")
        {
            use.forget(host, other_table);
            CHECK(engine->engine.streams() == 0);
        }
    }
    WHEN("an older host, which does not count its streams, reports its generations")
    {
        CHECK(engine->engine.peer_streams == 0);
        auto message = own.full_state(own_table);
        message.mutable_engines(0)->clear_streams();
        use.apply(host, message, other_table, now);
        THEN("all of them may be streams") { CHECK(engine->engine.peer_streams == 2); }
    }
    WHEN("a second host reports its own use")
    {
        use.apply(MemberId("host-2"), own.full_state(own_table), other_table, now);
        CHECK(engine->engine.peer_generations == 4);
    }
    WHEN("a full state message does not contain the engine")
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
    WHEN("an engine is added to the table after its use was reported")
    {
        BackendTable late_table;
        PeerUse early;
        early.apply(host, own.full_state(own_table), late_table, now);
        auto late = add_engine(late_table, "e1");
        early.apply_to(*late);
        CHECK(late->engine.peer_tokens == 5000);
    }
}

SCENARIO("a host detects a partition by the hosts that are silent")
{
    Reachability reachability(FailureDomainId("hall-a"));
    Instant now { 100s };
    CHECK_FALSE(reachability.is_partitioned(now));
    reachability.record_message(Address("10.0.0.1:1"), { FailureDomainId("hall-a"), 400ms }, now);
    reachability.record_message(Address("10.0.0.2:1"), { FailureDomainId("hall-b"), 400ms }, now);
    reachability.record_message(Address("10.0.0.3:1"), { FailureDomainId("hall-b"), 400ms }, now);

    CHECK_FALSE(reachability.is_partitioned(now + 900ms));
    WHEN("one host of another domain is silent")
    {
        reachability.record_message(Address("10.0.0.1:1"), now + 2s);
        reachability.record_message(Address("10.0.0.2:1"), now + 2s);
        CHECK(reachability.is_reachable(Address("10.0.0.2:1"), now + 2s));
        CHECK_FALSE(reachability.is_reachable(Address("10.0.0.3:1"), now + 2s));
        CHECK(reachability.silent_domains(now + 2s).empty());
    }
    WHEN("all hosts of another domain are silent")
    {
        reachability.record_message(Address("10.0.0.1:1"), now + 2s);
        CHECK(reachability.silent_domains(now + 2s) == std::vector { FailureDomainId("hall-b") });
        CHECK_FALSE(reachability.is_partitioned(now + 2s));
    }
    WHEN("all are silent")
    {
        CHECK(reachability.is_partitioned(now + 2s));
        THEN("after a long time they no longer indicate a partition")
        {
            CHECK_FALSE(reachability.is_partitioned(now + 100s));
            CHECK(reachability.silent_domains(now + 100s).empty());
        }
    }
    WHEN("the platform is unavailable")
    {
        reachability.set_platform_unavailable();
        CHECK(reachability.is_partitioned(now));
        reachability.set_platform_available();
        CHECK_FALSE(reachability.is_partitioned(now));
    }
    THEN("exactly one host is responsible for each engine, and another one takes over when it is silent")
    {
        FailureDomainId const unknown_domain("hall-c");
        Reachability other(FailureDomainId("hall-b"));
        other.record_message(Address("10.0.0.9:1"), { FailureDomainId("hall-a"), 400ms }, now);
        Reachability mine(FailureDomainId("hall-a"));
        mine.record_message(Address("10.0.0.8:1"), { FailureDomainId("hall-b"), 400ms }, now);
        for (int i = 0; i < 20; ++i) {
            auto engine = "engine-" + std::to_string(i);
            bool const by_me = mine.is_responsible_for(Address("10.0.0.9:1"), engine, unknown_domain, now);
            bool const by_other = other.is_responsible_for(Address("10.0.0.8:1"), engine, unknown_domain, now);
            CHECK(by_me != by_other);
            CHECK(mine.is_responsible_for(Address("10.0.0.9:1"), engine, unknown_domain, now + 5s));
            AND_THEN("a host of the engine's own domain takes precedence")
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
    int primary_readers = 0;
    auto readers_among = [&](int count, bool with_other_domain, std::set<int> const& without_platform = {}) {
        std::set<int> readers;
        primary_readers = 0;
        for (int own = 0; own < count; ++own) {
            Reachability reachability(FailureDomainId("hall-a"));
            for (int other = 0; other < count; ++other) {
                if (other != own)
                    reachability.record_message(
                        address(other), { FailureDomainId("hall-a"), 400ms, without_platform.contains(other) }, now);
            }
            if (with_other_domain)
                reachability.record_message(address(99), { FailureDomainId("hall-b"), 400ms }, now);
            if (reachability.reads_platform(address(own), now))
                readers.insert(own);
            primary_readers += reachability.is_primary_reader(address(own), now) ? 1 : 0;
        }
        return readers;
    };
    CHECK(readers_among(1, true).size() == 1);
    CHECK(readers_among(3, true).size() == 1);
    CHECK(readers_among(3, false).size() == 2);
    CHECK(readers_among(26, true).size() == 2);
    THEN("exactly one of them forwards what it reads") { CHECK(primary_readers == 1); }
    THEN("another host reads instead of one to which the platform is unavailable")
    {
        auto before = readers_among(3, true);
        auto after = readers_among(3, true, before);
        CHECK(std::ranges::any_of(after, [&](int reader) { return !before.contains(reader); }));
    }
    THEN("updates are sent to a reader of each other domain")
    {
        Reachability reachability(FailureDomainId("hall-a"));
        reachability.record_message(address(1), { FailureDomainId("hall-b"), 400ms }, now);
        reachability.record_message(address(2), { FailureDomainId("hall-b"), 400ms }, now);
        reachability.record_message(address(3), { FailureDomainId("hall-c"), 400ms, true }, now);
        // If the platform is unavailable to the only reachable host of a domain, the update is sent to that host
        // nevertheless: it forwards the update within its domain.
        CHECK(reachability.remote_receivers(0, now) == std::vector { address(1), address(3) });
    }
}

SCENARIO("two hosts speak for a domain, those first that the platform answers")
{
    Instant const now { 100s };
    constexpr int count = 59;
    auto address = [](int host) { return Address("10.0.0." + std::to_string(host) + ":1"); };
    auto representatives_among = [&](std::set<int> const& silent, std::set<int> const& without_platform) {
        std::set<int> representatives;
        for (int own = 0; own < count; ++own) {
            Reachability reachability(FailureDomainId("hall-a"));
            if (without_platform.contains(own))
                reachability.set_platform_unavailable();
            for (int other = 0; other < count; ++other) {
                if (other != own && !silent.contains(other))
                    reachability.record_message(
                        address(other), { FailureDomainId("hall-a"), 400ms, without_platform.contains(other) }, now);
            }
            if (!silent.contains(own) && reachability.is_representative(address(own), now))
                representatives.insert(own);
        }
        return representatives;
    };
    auto const all = representatives_among({}, {});
    CHECK(all.size() == Reachability::representatives_per_domain);
    WHEN("one of them is silent")
    {
        std::set<int> const silent { *all.begin() };
        auto after = representatives_among(silent, {});
        CHECK(after.size() == Reachability::representatives_per_domain);
        CHECK_FALSE(after.contains(*all.begin()));
    }
    WHEN("the platform is unavailable to both")
    {
        auto after = representatives_among({}, all);
        CHECK(after.size() == Reachability::representatives_per_domain);
        CHECK_FALSE(after.contains(*all.begin()));
        CHECK_FALSE(after.contains(*all.rbegin()));
    }
    WHEN("the platform is unavailable to all hosts")
    {
        std::set<int> everyone;
        for (int host = 0; host < count; ++host)
            everyone.insert(host);
        THEN("two hosts represent the domain nevertheless") { CHECK(representatives_among({}, everyone) == all); }
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
    auto leaders = [&](std::string const& silent, std::string const& without_platform) {
        std::vector<std::string> found;
        for (auto const& domain : domains) {
            for (int own = 0; own < hosts; ++own) {
                Reachability reachability { FailureDomainId(domain) };
                if (domain == without_platform)
                    reachability.set_platform_unavailable();
                for (auto const& other : domains) {
                    // Only two hosts of each other domain send messages.
                    for (int host = 0; host < (other == domain ? hosts : 2); ++host) {
                        bool const is_reachable
                            = (other != domain || host != own) && (other == domain || other != silent);
                        if (is_reachable)
                            reachability.record_message(address(other, host),
                                { FailureDomainId(other), 400ms, other == without_platform }, now);
                    }
                }
                if (reachability.is_leading_reader(address(domain, own), now))
                    found.push_back(domain);
            }
        }
        return found;
    };
    CHECK(leaders("", "") == std::vector<std::string> { "hall-1" });
    WHEN("the platform is unavailable to that domain")
    {
        CHECK(leaders("", "hall-1") == std::vector<std::string> { "hall-2" });
    }
    WHEN("that domain is partitioned from the others")
    {
        THEN("it reads for itself, and another domain reads for the rest")
        {
            CHECK(leaders("hall-1", "") == std::vector<std::string> { "hall-1", "hall-2" });
        }
    }
}

SCENARIO("another domain is told through the host last heard of it, and through any where none is heard")
{
    Reachability reachability(FailureDomainId("hall-a"));
    Instant const now { 100s };
    constexpr int count = 59;
    auto address = [](int host) { return Address("10.0.0." + std::to_string(host) + ":1"); };
    std::vector<KnownHost> rows;
    for (int host = 0; host < count; ++host)
        rows.push_back({ address(host), FailureDomainId("hall-b") });
    reachability.update_known_hosts(rows, now);
    THEN("two hosts are probed at a time, and all hosts are probed over time")
    {
        std::set<Address> tried;
        for (u64 draw = 0; draw < 400; ++draw) {
            auto receivers = reachability.remote_receivers(draw, now);
            CHECK(receivers.size() == Reachability::probes_per_silent_domain);
            tried.insert(receivers.begin(), receivers.end());
        }
        CHECK(tried.size() == count);
    }
    WHEN("one host has sent a message")
    {
        reachability.record_message(address(7), { FailureDomainId("hall-b"), 500ms }, now);
        CHECK(reachability.remote_receivers(1, now + 400ms) == std::vector { address(7) });
        CHECK(reachability.domain_message_age(FailureDomainId("hall-b"), now + 400ms) == 400ms);
        AND_WHEN("another host has sent a message since")
        {
            reachability.record_message(address(8), { FailureDomainId("hall-b"), 500ms }, now + 300ms);
            CHECK(reachability.remote_receivers(1, now + 400ms) == std::vector { address(8) });
        }
        AND_WHEN("it has been silent for long")
        {
            CHECK(reachability.remote_receivers(1, now + 3s).size() == Reachability::probes_per_silent_domain);
        }
    }
}

SCENARIO("a host counts all hosts that may be serving, including those that it cannot reach")
{
    Reachability reachability(FailureDomainId("hall-a"));
    Instant now { 100s };
    auto host = [](std::string const& domain, int number) {
        return KnownHost { Address(domain + ':' + std::to_string(number)), FailureDomainId(domain) };
    };
    auto receive_from = [&](KnownHost const& known, u32 hosts_of_domain = 0) {
        reachability.record_message(known.address, { known.domain, 500ms, false, hosts_of_domain }, now);
    };
    receive_from(host("hall-a", 1));
    THEN("the number is unknown before it has read the platform's table")
    {
        CHECK_FALSE(reachability.fleet_size(now).has_value());
        CHECK(reachability.own_status(500ms, now).hosts_of_domain == 0);
    }
    GIVEN("the table of hosts")
    {
        std::vector const rows { host("hall-a", 1), host("hall-a", 2), host("hall-b", 1), host("hall-b", 2) };
        reachability.update_known_hosts(rows, now);
        CHECK(reachability.fleet_size(now) == 5U);
        CHECK(reachability.own_status(500ms, now).hosts_of_domain == 3);
        WHEN("a host of its domain that is not in the table sends a message")
        {
            receive_from(host("hall-a", 3));
            CHECK(reachability.fleet_size(now) == 6U);
            CHECK(reachability.own_status(500ms, now).hosts_of_domain == 4);
        }
        WHEN("another domain reports its number of hosts")
        {
            receive_from(host("hall-b", 1), 7);
            CHECK(reachability.fleet_size(now) == 10U);
            AND_WHEN("a representative that has just started does not know the number yet")
            {
                receive_from(host("hall-b", 2), 0);
                CHECK(reachability.fleet_size(now) == 10U);
            }
        }
        WHEN("it is partitioned from all other hosts for an hour")
        {
            now += 1h;
            THEN("the other hosts count, since they may still be serving")
            {
                CHECK(reachability.fleet_size(now) == 5U);
            }
        }
        WHEN("hosts have been silent for longer than partitions last")
        {
            now += 3h;
            receive_from(host("hall-a", 1));
            THEN("they no longer count") { CHECK(reachability.fleet_size(now) == 2U); }
        }
    }
}

SCENARIO("what all hosts of another domain have running is told by whoever speaks for it")
{
    // The first representative of hall-b has two generations of its own, and a neighbour reports three more.
    BackendTable representative_table;
    auto representative_engine = add_engine(representative_table, "e1");
    representative_engine->engine.own_generations = 2;
    representative_engine->engine.own_tokens = 5000;
    OwnUse representative_use { UseScope::Domain };
    PeerUse representative_peer_use;
    Instant const now { 50s };
    wire::HostUse from_neighbour;
    auto& neighbour_use = *from_neighbour.add_engines();
    neighbour_use.set_engine("e1");
    neighbour_use.set_generations(3);
    neighbour_use.set_tokens(9000);
    representative_peer_use.apply(MemberId("neighbour"), from_neighbour, representative_table, now);

    BackendTable table;
    auto engine = add_engine(table, "e1");
    PeerUse use;
    auto receive = [&](wire::HostUse message, std::string const& representative) {
        message.set_domain_speaker(representative);
        use.apply(MemberId("hall-b"), message, table, now);
    };
    receive(representative_use.full_state(representative_table), "10.0.0.1:1");
    CHECK(engine->engine.peer_generations == 5);
    CHECK(engine->engine.peer_tokens == 14000);
    WHEN("the second representative reports the same")
    {
        receive(OwnUse(UseScope::Domain).full_state(representative_table), "10.0.0.2:1");
        THEN("it is not counted twice") { CHECK(engine->engine.peer_generations == 5); }
    }
    WHEN("the neighbour reports that one of its generations has ended")
    {
        neighbour_use.set_generations(2);
        representative_peer_use.apply(MemberId("neighbour"), from_neighbour, representative_table, now);
        receive(*representative_use.delta(representative_table), "10.0.0.1:1");
        CHECK(engine->engine.peer_generations == 4);
    }
    THEN("a host does not forward the use of another domain as its own domain's")
    {
        CHECK_FALSE(OwnUse(UseScope::Domain).delta(table).has_value());
        CHECK(engine->engine.domain_peer_work == EngineWork {});
    }
}

SCENARIO("the strongest hosts of a domain represent it and read the platform")
{
    Address const own("10.0.0.1:1");
    Instant const now { 100s };
    for (int number = 2; number < 12; ++number) {
        Reachability reachability(FailureDomainId("hall-a"), 1);
        Address const other("10.0.0." + std::to_string(number) + ":1");
        Reachability::HostStatus status { FailureDomainId("hall-a"), 1s };
        status.strength = 2;
        reachability.record_message(other, status, now);
        CHECK(reachability.first_representative(own, now) == other);
        CHECK_FALSE(reachability.is_primary_reader(own, now));
        WHEN("the platform is unavailable to the stronger host " + std::to_string(number))
        {
            status.platform_unavailable = true;
            reachability.record_message(other, status, now);
            CHECK(reachability.first_representative(own, now) == own);
            CHECK(reachability.is_primary_reader(own, now));
        }
        WHEN("the stronger host " + std::to_string(number) + " falls silent")
        {
            CHECK(reachability.first_representative(own, now + 5s) == own);
        }
    }
}
