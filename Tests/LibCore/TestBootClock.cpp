/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <ctime>

// The users' machines are suspended for seconds at a time. The standard steady clock does not count this time, so
// timers and deadlines based on it would be late.
SCENARIO("time goes on while the machine is suspended")
{
    GIVEN("the clock of all timers and deadlines")
    {
        auto read = [] {
            ::timespec time {};
            ::clock_gettime(CLOCK_BOOTTIME, &time);
            return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
        };
        auto const before = read();
        auto const now = AK::BootClock::now().time_since_epoch();
        auto const after = read();
        THEN("it is the kernel's clock that includes suspensions")
        {
            CHECK(before <= now);
            CHECK(now <= after);
        }
    }
    GIVEN("a timer that has most of an hour left")
    {
        boost::asio::io_context loop;
        AK::Timer timer(loop, 1h);
        bool is_due = false;
        timer.async_wait([&](boost::system::error_code error) { is_due = !error; });
        loop.run_for(10ms);
        CHECK(!is_due);
        WHEN("the machine is suspended for an hour")
        {
            AK::BootClock::simulate_suspension(1h);
            THEN("it expires after the machine resumes, although the loop's own sleep is not over")
            {
                loop.restart();
                loop.run_for(2s);
                CHECK(is_due);
            }
        }
    }
}
