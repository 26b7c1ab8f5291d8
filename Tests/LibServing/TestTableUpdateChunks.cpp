/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateChunks.h>
#include <catch2/catch.hpp>

using namespace Serving;

static wire::PlatformNews update_of(size_t bytes, u64 version = 5)
{
    wire::PlatformNews update;
    update.set_table("op");
    update.set_version(version);
    update.set_has_rows(true);
    for (size_t i = 0; i < bytes; ++i)
        update.mutable_packed_rows()->push_back(static_cast<char>(i * version % 251));
    return update;
}

SCENARIO("an update that is too large for a datagram is sent in parts")
{
    TableUpdateChunks chunks;
    GIVEN("a small update")
    {
        auto const parts = split_update(update_of(1000));
        REQUIRE(parts.size() == 1);
        CHECK(chunks.add(parts.front())->packed_rows() == update_of(1000).packed_rows());
    }
    GIVEN("a large one, whose parts arrive in any order and more than once")
    {
        auto const whole = update_of(60'000);
        auto const parts = split_update(whole);
        REQUIRE(parts.size() == 4);
        CHECK_FALSE(chunks.add(parts[3]));
        CHECK_FALSE(chunks.add(parts[0]));
        CHECK_FALSE(chunks.add(parts[0]));
        CHECK_FALSE(chunks.add(parts[1]));
        auto const complete = chunks.add(parts[2]);
        REQUIRE(complete);
        CHECK(complete->packed_rows() == whole.packed_rows());
        CHECK(complete->chunk_count() == 0);
        CHECK(complete->version() == 5);
    }
    GIVEN("parts of two updates")
    {
        auto const earlier = split_update(update_of(20'000, 5));
        auto const later = split_update(update_of(20'000, 6));
        CHECK_FALSE(chunks.add(earlier[0]));
        CHECK_FALSE(chunks.add(later[1]));
        THEN("they are not mixed")
        {
            CHECK(chunks.add(earlier[1])->packed_rows() == update_of(20'000, 5).packed_rows());
            CHECK(chunks.add(later[0])->packed_rows() == update_of(20'000, 6).packed_rows());
        }
    }
    GIVEN("a part that is malformed")
    {
        auto part = split_update(update_of(20'000))[1];
        SECTION("its number is beyond the count") { part.set_chunk(2); }
        SECTION("there are too many") { part.set_chunk_count(100'000); }
        SECTION("it is empty") { part.clear_packed_rows(); }
        CHECK_FALSE(chunks.add(part));
    }
}
