/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// Within this time, every reachable host has to know the limit that a server has advertised.
constexpr Duration contact_time = 3s;
/// The bound applies to the requests that a server gets in any window of this length.
constexpr Duration window = 4s;

/// 1.5 times the requests that the limit allows, plus five.
double allowed_in_window(double per_second) { return 1.5 * per_second * AK::to_seconds(window) + 5; }

}

// Guards against hosts that ignore the limit that an overloaded server advertises: all hosts together once sent such
// servers as many requests as before.
SCENARIO("all hosts together send a server no more than the limit that it names")
{
    LoadedServers servers(3, "lanes", "/lookup/7");
    servers.apply_load(1s);
    GIVEN("two servers of three that advertise a limit")
    {
        servers.runners[0]->set_limit("2.8");
        servers.runners[1]->set_limit("3.9");
        auto const advertised_at = AK::BootClock::now();
        servers.apply_load(contact_time + window + 1s);
        THEN("they get no more than the limit allows")
        {
            CHECK(static_cast<double>(servers.max_in_window(0, advertised_at + contact_time, window))
                <= allowed_in_window(2.8));
            CHECK(static_cast<double>(servers.max_in_window(1, advertised_at + contact_time, window))
                <= allowed_in_window(3.9));
        }
        AND_WHEN("one of them withdraws it")
        {
            servers.runners[0]->set_limit({});
            auto const withdrawn_at = AK::BootClock::now();
            servers.clear_calls();
            servers.apply_load(contact_time);
            THEN("it gets requests as the others do, and all callers get responses")
            {
                CHECK(servers.arrivals_since(0, withdrawn_at) > servers.call_count() / 6);
                servers.clear_calls();
                servers.apply_load(1s);
                servers.await_responses();
                CHECK(servers.count_with_status(200) == servers.call_count());
            }
        }
    }
    GIVEN("servers that all advertise a limit")
    {
        for (auto* runner : servers.runners)
            runner->set_limit("5");
        auto const advertised_at = AK::BootClock::now();
        servers.apply_load(contact_time);
        servers.clear_calls();
        servers.apply_load(window);
        servers.await_responses();
        THEN("they get no more than it allows, but still get requests; the remaining calls are refused at once")
        {
            for (size_t i = 0; i < servers.runners.size(); ++i) {
                CHECK(static_cast<double>(servers.max_in_window(i, advertised_at + contact_time, window))
                    <= allowed_in_window(5));
                CHECK(servers.arrivals_since(i, advertised_at + contact_time) >= 5);
            }
            CHECK(servers.count_with_status(503) > servers.call_count() / 3);
            CHECK(servers.count_with_status(200) + servers.count_with_status(503) == servers.call_count());
        }
    }
}
