/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateRows.h>
#include <catch2/catch.hpp>

using Platform::RowChange;

static std::vector<RowChange> some_changes()
{
    std::string const value(20'000, 'r');
    return { { { "config", value, 17 }, false }, { { "former", "", 18 }, true } };
}

static void check_same(std::vector<RowChange> const& found, std::vector<RowChange> const& expected)
{
    REQUIRE(found.size() == expected.size());
    for (size_t i = 0; i < found.size(); ++i) {
        CHECK(found[i].row.key == expected[i].row.key);
        CHECK(found[i].row.value == expected[i].row.value);
        CHECK(found[i].row.version == expected[i].row.version);
        CHECK(found[i].removed == expected[i].removed);
    }
}

SCENARIO("the rows of a table update are sent to other hosts")
{
    wire::PlatformNews update;
    WHEN("the compressed rows are small")
    {
        Serving::put_rows(update, some_changes(), 1000);
        CHECK(update.has_rows());
        CHECK(update.ByteSizeLong() < 1000);
        check_same(Serving::rows_of(update).value(), some_changes());
    }
    WHEN("the compressed rows are too large")
    {
        Serving::put_rows(update, some_changes(), 10);
        THEN("the update contains no rows")
        {
            CHECK_FALSE(update.has_rows());
            CHECK(Serving::rows_of(update).value().empty());
        }
    }
    WHEN("the compressed rows are corrupted")
    {
        Serving::put_rows(update, some_changes(), 1000);
        auto packed = update.packed_rows();
        THEN("bytes that are not compressed data are an error")
        {
            update.set_packed_rows("no packed rows");
            CHECK_FALSE(Serving::rows_of(update));
        }
        THEN("truncated data is an error")
        {
            update.set_packed_rows(packed.substr(0, packed.size() / 2));
            CHECK_FALSE(Serving::rows_of(update));
        }
    }
}
