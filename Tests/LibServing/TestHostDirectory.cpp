/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/HostDirectory.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Serving;

/// A table of the platform that responds synchronously and in pages.
struct PagedTable {
    static constexpr size_t rows_per_page = 500;

    void put(std::string const&, std::string const& key, std::string const& value, Duration,
        std::function<void(Result<void>)> const& on_done)
    {
        this->rows[key] = value;
        on_done(success());
    }

    void list(std::string const&, std::string const& first_key, Duration,
        std::function<void(Result<Platform::RowPage>)> const& on_page)
    {
        Platform::RowPage page;
        for (auto row = this->rows.lower_bound(first_key); row != this->rows.end(); ++row) {
            page.more = page.rows.size() == rows_per_page;
            if (page.more)
                break;
            page.rows.push_back({ row->first, row->second, 1 });
        }
        on_page(std::move(page));
    }

    std::map<std::string, std::string> rows;
};

static wire::HostAddress row_of(int number)
{
    wire::HostAddress row;
    row.set_address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":7200");
    row.set_failure_domain("hall-" + std::to_string(number % 5));
    return row;
}

SCENARIO("a host reads all pages of the platform's table of hosts")
{
    PagedTable table;
    constexpr int others = 1200;
    for (int i = 0; i < others; ++i)
        table.rows["host-" + std::to_string(i)] = row_of(i).SerializeAsString();
    table.rows["of another version"] = "\xff\xff";

    boost::asio::io_context loop;
    std::vector<KnownHost> found;
    int call_count = 0;
    HostDirectory<PagedTable> directory(loop, table, MemberId("own"), Address("10.9.0.1:7200"),
        FailureDomainId("hall-0"), [&](std::vector<KnownHost> hosts) {
            ++call_count;
            found = std::move(hosts);
        });
    directory.start();
    CHECK(call_count == 1);
    std::set<Address> addresses;
    for (auto const& host : found)
        addresses.insert(host.address);
    CHECK(addresses.size() == others + 1);
    CHECK(addresses.contains(Address("10.9.0.1:7200")));
}
