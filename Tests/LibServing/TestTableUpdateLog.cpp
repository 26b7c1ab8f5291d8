/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateLog.h>
#include <catch2/catch.hpp>

using Serving::TableUpdateLog;

static wire::PlatformNews make_update(u64 previous, u64 version)
{
    wire::PlatformNews made;
    made.set_previous_change(previous);
    made.set_version(version);
    made.add_relay_to("10.0.0.9:7200");
    return made;
}

static std::vector<u64> versions(std::vector<wire::PlatformNews> const& all)
{
    std::vector<u64> found;
    for (auto const& update : all)
        found.push_back(update.version());
    return found;
}

SCENARIO("hosts keep changes for others that have missed them")
{
    TableUpdateLog log;
    CHECK(log.since(0).empty());
    log.add(make_update(3, 10));
    // Updates may arrive out of order and more than once.
    log.add(make_update(15, 20));
    log.add(make_update(10, 15));
    log.add(make_update(10, 15));
    CHECK(versions(log.since(10)) == std::vector<u64> { 15, 20 });
    CHECK(versions(log.since(12)) == std::vector<u64> { 15, 20 });
    CHECK(log.since(20).empty());
    THEN("their relay list is not kept") { CHECK(log.since(10).front().relay_to_size() == 0); }
    WHEN("an update is missing")
    {
        log.add(make_update(22, 25));
        THEN("no updates are returned across the gap")
        {
            CHECK(log.since(10).empty());
            CHECK(versions(log.since(22)) == std::vector<u64> { 25 });
        }
    }
    WHEN("the log exceeds its capacity")
    {
        for (u64 version = 20; version < 20 + TableUpdateLog::max_kept; ++version)
            log.add(make_update(version, version + 1));
        THEN("the oldest updates are dropped")
        {
            CHECK(log.since(10).empty());
            CHECK(log.since(21).size() == TableUpdateLog::max_kept - 1);
        }
    }
}
