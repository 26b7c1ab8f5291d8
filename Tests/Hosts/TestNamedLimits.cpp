/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// After so long every host that is in touch has to know what a server has named.
constexpr Duration contact_time = 3s;
/// The bound is on what a server gets in any span of so long.
constexpr Duration window = 4s;

/// Half as many again as the limit allows, and five.
double allowed_in_window(double per_second) { return 1.5 * per_second * AK::to_seconds(window) + 5; }

}

// Servers of the users in need named a limit, and all hosts together sent them as much as before.
SCENARIO("all hosts together send a server no more than the limit that it names")
{
    LoadedServers servers(3, "lanes", "/lookup/7");
    servers.apply_load(1s);
    GIVEN("two servers of three that name a limit")
    {
        servers.runners[0]->set_limit("2.8");
        servers.runners[1]->set_limit("3.9");
        auto const named_at = AK::BootClock::now();
        servers.apply_load(contact_time + window + 1s);
        THEN("they get no more from then on")
        {
            CHECK(static_cast<double>(servers.max_in_window(0, named_at + contact_time, window))
                <= allowed_in_window(2.8));
            CHECK(static_cast<double>(servers.max_in_window(1, named_at + contact_time, window))
                <= allowed_in_window(3.9));
        }
        AND_WHEN("one of them names none any more")
        {
            servers.runners[0]->set_limit({});
            auto const ended_at = AK::BootClock::now();
            servers.clear_calls();
            servers.apply_load(contact_time);
            THEN("it gets work as the others do, and all callers are answered")
            {
                CHECK(servers.arrivals_since(0, ended_at) > servers.call_count() / 6);
                servers.clear_calls();
                servers.apply_load(1s);
                servers.await_responses();
                CHECK(servers.count_with_status(200) == servers.call_count());
            }
        }
    }
    GIVEN("servers that all name a limit")
    {
        for (auto* runner : servers.runners)
            runner->set_limit("5");
        auto const named_at = AK::BootClock::now();
        servers.apply_load(contact_time);
        servers.clear_calls();
        servers.apply_load(window);
        servers.await_responses();
        THEN("they get no more, and some of it all the time; who is left over is refused at once")
        {
            for (size_t i = 0; i < servers.runners.size(); ++i) {
                CHECK(static_cast<double>(servers.max_in_window(i, named_at + contact_time, window))
                    <= allowed_in_window(5));
                CHECK(servers.arrivals_since(i, named_at + contact_time) >= 5);
            }
            CHECK(servers.count_with_status(503) > servers.call_count() / 3);
            CHECK(servers.count_with_status(200) + servers.count_with_status(503) == servers.call_count());
        }
    }
}
