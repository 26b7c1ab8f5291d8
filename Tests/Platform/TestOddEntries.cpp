/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

std::string entry(std::string const& address, std::string const& slots, std::string const& more = {})
{
    return R"({"service":"lanes","addr":")" + address + R"(","zone":"hall-a","slots":)" + slots
        + R"(,"state":"ready","cold_left_ms":0,"call_seq":1)" + more + '}';
}

/// What another writer may leave among the entries of backend servers.
std::vector<std::string> odd_values()
{
    constexpr size_t depth = 40'000;
    return { std::string(depth, '['), std::string(depth, '['), R"({"service":)" + std::string(depth / 5, '{'),
        entry("10.0.0.1:1", "1e999"), entry("10.0.0.1:1", "99999999999999999999999999"),
        entry("10.0.0.1:1", "8", R"(,"born":1e999)"), entry("10.0.0.1:1", "8", R"(,"born":18446744073709551616)"),
        entry("10.0.0.1:1", "8", R"(,"extra":)" + std::string(1000, '[') + std::string(1000, ']')),
        entry("10.0.0.1:0", "8"), entry("10.0.0.1:-1", "8"), entry("10.0.0.1:99999", "8"),
        entry("10.0.0.1:18446744073709551617", "8"), entry("999.0.0.1:80", "8"), entry(std::string(3000, '1'), "8"), "",
        "null", "\xff\xfe", std::string(60'000, '0') };
}

/// Leaves each odd value under several keys, before, between and after those of servers.
void leave_odd_entries(HostGroup& hosts)
{
    constexpr int copies = 4;
    size_t number = 0;
    for (auto const& value : odd_values()) {
        for (int i = 0; i < copies; ++i)
            hosts.platform.store.put("servers", (i % 2 == 0 ? "a-odd-" : "z-odd-") + std::to_string(++number), value);
    }
    hosts.platform.store.put_undecodable("servers", "a-undecodable");
    hosts.platform.store.put("op", "evacuate/hall-z", odd_values().front());
    hosts.platform.store.put("op", "rollout/lanes", odd_values().front());
}

size_t served_by(HostGroup& hosts, PlatformRunner& runner, size_t host)
{
    auto const before = runner.received().size();
    for (int i = 0; i < 10; ++i) {
        auto const attempt = runner.id() + std::to_string(host) + '-' + std::to_string(i);
        CHECK(hosts.finished_call(host, HostFixture::request("/lookup/1", attempt))->status == 200);
    }
    return runner.received().size() - before;
}

}

// Guards against hosts that end, or stop following the list of servers, because another writer left an odd entry in it.
SCENARIO("odd entries among those of the servers harm nobody")
{
    HostGroup hosts({ "hall-a", "hall-a", "hall-b" });
    auto& first = hosts.platform.add_runner("lanes-1", "lanes");
    bool const is_odd_at_start = GENERATE(true, false);
    if (is_odd_at_start)
        leave_odd_entries(hosts);
    hosts.start();
    if (!is_odd_at_start)
        leave_odd_entries(hosts);
    hosts.run_for(500ms);
    for (size_t host = 0; host < hosts.size(); ++host)
        CHECK(served_by(hosts, first, host) == 10);

    WHEN("a server is added and the first one removed")
    {
        auto& second = hosts.platform.add_runner("lanes-2", "lanes");
        hosts.platform.remove_from_list(first);
        hosts.run_for(500ms);
        THEN("all hosts follow")
        {
            for (size_t host = 0; host < hosts.size(); ++host)
                CHECK(served_by(hosts, second, host) == 10);
        }
    }
    WHEN("a host is replaced, and gets the tables from the others")
    {
        hosts.replace(1);
        THEN("it serves") { CHECK(served_by(hosts, first, 1) == 10); }
    }
    WHEN("all hosts are replaced")
    {
        hosts.replace_all();
        THEN("they serve") { CHECK(served_by(hosts, first, 0) == 10); }
    }
}
