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

SCENARIO("changes of a table are told to other hosts")
{
    wire::PlatformNews news;
    WHEN("its rows are small once packed")
    {
        Serving::put_rows(news, some_changes(), 1000);
        CHECK(news.has_rows());
        CHECK(news.ByteSizeLong() < 1000);
        check_same(Serving::rows_of(news).value(), some_changes());
    }
    WHEN("its rows are too large even when packed")
    {
        Serving::put_rows(news, some_changes(), 10);
        THEN("only that there is a change is told")
        {
            CHECK_FALSE(news.has_rows());
            CHECK(Serving::rows_of(news).value().empty());
        }
    }
    WHEN("packed rows are spoiled on their way")
    {
        Serving::put_rows(news, some_changes(), 1000);
        auto spoiled = news.packed_rows();
        THEN("bytes that are none of ours are an error")
        {
            news.set_packed_rows("no packed rows");
            CHECK_FALSE(Serving::rows_of(news));
        }
        THEN("bytes that are cut are an error")
        {
            news.set_packed_rows(spoiled.substr(0, spoiled.size() / 2));
            CHECK_FALSE(Serving::rows_of(news));
        }
    }
}
