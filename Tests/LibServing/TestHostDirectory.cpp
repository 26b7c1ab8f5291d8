/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/HostDirectory.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace Serving;

/// The platform's table of hosts. It responds synchronously and in pages.
struct PagedTable {
    static constexpr size_t rows_per_page = 500;

    void put_in_part(std::string const&, std::string const& part, std::string const& key, std::string const& value,
        Duration, std::function<void(Result<void>)> const& on_done)
    {
        this->parts[part][key] = value;
        on_done(success());
    }

    void list_part(std::string const&, std::string const& part, std::string const& first_key, Duration,
        std::function<void(Result<Platform::RowPage>)> const& on_page)
    {
        Platform::RowPage page;
        auto const& rows = this->parts[part];
        for (auto row = rows.lower_bound(first_key); row != rows.end(); ++row) {
            page.more = page.rows.size() == rows_per_page;
            if (page.more)
                break;
            page.rows.push_back({ row->first, row->second, 1 });
        }
        this->rows_read += page.rows.size();
        on_page(std::move(page));
    }

    void list_parts(std::string const&, Duration, std::function<void(Result<std::vector<std::string>>)> const& on_parts)
    {
        std::vector<std::string> names;
        for (auto const& [part, rows] : this->parts)
            names.push_back(part);
        on_parts(names);
    }

    std::map<std::string, std::map<std::string, std::string>> parts;
    size_t rows_read { 0 };
};

static wire::HostAddress row_of(int number)
{
    wire::HostAddress row;
    row.set_address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":7200");
    row.set_failure_domain("hall-" + std::to_string(number % 2));
    row.set_strength(static_cast<u32>(number % 3));
    return row;
}

static std::set<Address> addresses_of(std::vector<KnownHost> const& hosts)
{
    std::set<Address> addresses;
    for (auto const& host : hosts)
        addresses.insert(host.address);
    return addresses;
}

SCENARIO("a host reads the hosts of its domain, and those of all domains when it must")
{
    PagedTable table;
    constexpr int others = 1200;
    for (int i = 0; i < others; ++i) {
        auto const row = row_of(i);
        table.parts[row.failure_domain()]["host-" + std::to_string(i)] = row.SerializeAsString();
    }
    table.parts["hall-0"]["of another version"] = "\xff\xff";

    boost::asio::io_context loop;
    std::vector<KnownHost> local;
    std::vector<KnownHost> all;
    int local_call_count = 0;
    int all_call_count = 0;
    KnownHost const own { Address("10.9.0.1:7200"), FailureDomainId("hall-0"), 2 };
    HostDirectory<PagedTable> directory(loop, table, MemberId("own"), own,
        { [&](std::vector<KnownHost> hosts) {
             ++local_call_count;
             local = std::move(hosts);
         },
            [&](std::vector<KnownHost> hosts) {
                ++all_call_count;
                all = std::move(hosts);
            } });
    directory.start();
    CHECK(local_call_count == 1);
    CHECK(addresses_of(local).size() == others / 2 + 1);
    CHECK(addresses_of(local).contains(own.address));
    CHECK(std::ranges::find(local, own.address, &KnownHost::address)->strength == 2);
    THEN("the other domains' hosts have not been read") { CHECK(table.rows_read == others / 2 + 2); }
    WHEN("all hosts are read")
    {
        directory.read_all();
        CHECK(all_call_count == 1);
        CHECK(addresses_of(all).size() == others + 1);
        CHECK(addresses_of(all).contains(own.address));
        THEN("that is done once")
        {
            auto const before = table.rows_read;
            directory.read_all();
            CHECK(table.rows_read == before);
        }
    }
}
