/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/HostSnapshot.h>
#include <LibServing/Snapshot/SnapshotFetch.h>
#include <LibServing/Snapshot/SnapshotServer.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Serving;

namespace {

/// A table whose rows hardly compress.
Platform::TableSnapshot table_of(size_t row_count, u64 version = 7)
{
    std::mt19937_64 random(version);
    Platform::TableSnapshot table { {}, version, version - 1 };
    for (size_t i = 0; i < row_count; ++i) {
        std::string value;
        for (int word = 0; word < 4; ++word)
            value += std::to_string(random());
        table.rows.push_back({ "server-" + std::to_string(i), value, i + 1 });
    }
    return table;
}

}

SCENARIO("a snapshot is handed over in chunks")
{
    auto const table = table_of(2000);
    auto const packed = pack_snapshot("servers", table);
    REQUIRE(packed.chunk_count() > 4);
    SnapshotAssembly assembly;
    auto add = [&](u32 number) { return assembly.add(packed.chunk(number)); };
    using Added = SnapshotAssembly::Result;

    GIVEN("chunks in any order, some of them twice")
    {
        for (u32 i = packed.chunk_count(); i-- > 0;) {
            CHECK(add(i) == Added::Added);
            CHECK(add(i) == Added::Ignored);
        }
        REQUIRE(assembly.is_complete());
        auto const unpacked = unpack_snapshot(assembly.take());
        REQUIRE(unpacked);
        CHECK(unpacked.value().version == 7);
        CHECK(unpacked.value().last_change == 6);
        REQUIRE(unpacked.value().rows.size() == 2000);
        CHECK(unpacked.value().rows[5].value == table.rows[5].value);
        CHECK(unpacked.value().rows[5].version == 6);
    }
    GIVEN("the snapshot of an empty table")
    {
        SnapshotAssembly other;
        auto const empty = pack_snapshot("servers", { {}, 7, 0 });
        REQUIRE(empty.chunk_count() == 1);
        other.add(empty.chunk(0));
        REQUIRE(other.is_complete());
        auto const unpacked = unpack_snapshot(other.take());
        REQUIRE(unpacked);
        CHECK(unpacked.value().rows.empty());
        CHECK(unpacked.value().version == 7);
    }
    GIVEN("chunks of a later snapshot in between")
    {
        add(0);
        auto const later = pack_snapshot("servers", table_of(2000, 9));
        CHECK(assembly.add(later.chunk(1)) == Added::Restarted);
        THEN("those of the earlier one are dropped and no longer accepted")
        {
            CHECK(assembly.version() == 9);
            CHECK(add(1) == Added::Ignored);
            CHECK(assembly.missing_chunks(0, 2) == std::vector<u32> { 0, 2 });
        }
    }
    GIVEN("chunks of another snapshot with the same version")
    {
        add(0);
        auto other = packed.chunk(1);
        other.set_checksum(packed.checksum + 1);
        CHECK(assembly.add(other) == Added::Ignored);
    }
    GIVEN("chunks that are malformed")
    {
        auto chunk = packed.chunk(0);
        SECTION("a number beyond the count") { chunk.set_number(chunk.count()); }
        SECTION("more chunks than any table has") { chunk.set_count(1'000'000); }
        SECTION("no content") { chunk.clear_bytes(); }
        SECTION("too much content") { chunk.set_bytes(std::string(100'000, 'x')); }
        CHECK(assembly.add(chunk) == Added::Ignored);
        CHECK(assembly.is_empty());
    }
    GIVEN("a chunk whose content was changed")
    {
        for (u32 i = 0; i < packed.chunk_count(); ++i) {
            auto chunk = packed.chunk(i);
            if (i == 2)
                chunk.mutable_bytes()->front() ^= 1;
            assembly.add(chunk);
        }
        REQUIRE(assembly.is_complete());
        THEN("the snapshot is not used") { CHECK_FALSE(unpack_snapshot(assembly.take())); }
    }
}

SCENARIO("a snapshot is fetched from hosts that may not respond")
{
    Instant now { 100s };
    std::vector<std::pair<Address, wire::SnapshotRequest>> sent;
    std::optional<PackedSnapshot> fetched;
    Address const first("10.0.0.1:1");
    Address const second("10.0.0.2:1");
    SnapshotFetch fetch("servers",
        { [&](Address const& holder, wire::SnapshotRequest request) { sent.emplace_back(holder, std::move(request)); },
            [&] {
                return std::vector { first, second };
            },
            [&](PackedSnapshot packed) { fetched = std::move(packed); } });
    auto const packed = pack_snapshot("servers", table_of(2000));
    auto respond = [&] {
        for (auto const& [holder, request] : std::exchange(sent, {}))
            fetch.handle_chunk(packed.chunk(request.chunk()), holder, now);
    };
    auto run = [&](Duration span) {
        for (auto const end = now + span; now < end; now += 50ms)
            fetch.tick(now);
    };
    fetch.tick(now);
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().first == first);
    WHEN("the host responds to every request")
    {
        for (int i = 0; i < 100 && !fetched; ++i)
            respond();
        REQUIRE(fetched);
        CHECK(unpack_snapshot(*fetched).value().rows.size() == 2000);
    }
    WHEN("responses are lost")
    {
        u32 count = 0;
        for (int i = 0; i < 400 && !fetched; ++i) {
            for (auto const& [holder, request] : std::exchange(sent, {})) {
                if (++count % 3 != 0)
                    fetch.handle_chunk(packed.chunk(request.chunk()), holder, now);
            }
            run(100ms);
        }
        REQUIRE(fetched);
    }
    WHEN("the host does not respond")
    {
        sent.clear();
        run(1500ms);
        THEN("the next one is asked")
        {
            CHECK(fetch.current_holder() == second);
            CHECK(sent.back().first == second);
        }
    }
    WHEN("the host is itself loading the table")
    {
        wire::SnapshotChunk pending;
        pending.set_table("servers");
        fetch.handle_chunk(pending, first, now);
        run(350ms);
        THEN("it is asked again")
        {
            CHECK(fetch.current_holder() == first);
            CHECK(sent.size() == 2);
            CHECK_FALSE(fetch.is_progressing(now));
        }
        AND_WHEN("that lasts")
        {
            for (int i = 0; i < 2; ++i) {
                fetch.handle_chunk(pending, first, now);
                run(350ms);
            }
            THEN("another host is asked") { CHECK(fetch.current_holder() == second); }
        }
    }
    WHEN("another host sends chunks unasked")
    {
        fetch.handle_chunk(packed.chunk(0), second, now);
        CHECK_FALSE(fetch.is_progressing(now + 5s));
        CHECK(sent.size() == 1);
    }
}

SCENARIO("a host hands out snapshots at a bounded rate")
{
    Instant now { 100s };
    std::vector<wire::SnapshotChunk> sent;
    std::optional<Platform::TableSnapshot> table;
    int packed_count = 0;
    SnapshotServer server(100'000,
        { [&](Address const&, wire::SnapshotChunk chunk) { sent.push_back(std::move(chunk)); },
            [&](std::string const&) {
                ++packed_count;
                return table;
            } });
    auto request = [&](u32 chunk, u64 version, std::string const& from = "10.0.0.1:1") {
        wire::SnapshotRequest message;
        message.set_table("servers");
        message.set_chunk(chunk);
        message.set_version(version);
        server.handle_request(message, Address(from), now);
    };
    GIVEN("a table that is not known yet")
    {
        request(0, 0);
        REQUIRE(sent.size() == 1);
        CHECK(sent.front().count() == 0);
    }
    GIVEN("a known table")
    {
        table = table_of(4000);
        request(0, 0);
        REQUIRE(sent.size() == 1);
        CHECK(sent.front().count() > 10);
        WHEN("many chunks are requested")
        {
            for (u32 i = 1; i < 12; ++i)
                request(i, 7);
            THEN("they are sent at the given rate")
            {
                CHECK(sent.size() <= 2);
                for (int i = 0; i < 50; ++i) {
                    now += 10ms;
                    server.send_pending(now);
                }
                CHECK(sent.size() >= 6);
                CHECK(sent.size() <= 8);
            }
        }
        WHEN("the same chunk is requested again before it was sent")
        {
            for (int i = 0; i < 20; ++i)
                request(3, 7);
            now += 10s;
            server.send_pending(now);
            CHECK(sent.size() == 2);
            CHECK_FALSE(server.has_pending());
        }
        WHEN("the table changes meanwhile")
        {
            table = table_of(4000, 9);
            now += 6s;
            THEN("a receiver that is half through gets the rest of the old one, and a new one the new one")
            {
                request(1, 7);
                CHECK(sent.back().version() == 7);
                now += 1s;
                request(0, 0, "10.0.0.2:1");
                CHECK(sent.back().version() == 9);
                CHECK(packed_count == 2);
            }
        }
    }
}

SCENARIO("the hosts of all domains are handed over like a table")
{
    std::vector<KnownHost> const known { { Address("10.0.0.1:1"), FailureDomainId("hall-a"), 2 } };
    auto snapshot = snapshot_of_hosts(known, { Address("10.0.0.2:1"), FailureDomainId("hall-b"), 0 });
    snapshot.rows.push_back({ "of another version", "\xff\xff", 1 });
    auto const hosts = hosts_in(snapshot);
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].address == known[0].address);
    CHECK(hosts[0].strength == 2);
    CHECK(hosts[1].domain == FailureDomainId("hall-b"));
}
