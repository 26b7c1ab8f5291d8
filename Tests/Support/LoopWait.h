/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace Test {

/// Runs the event loop until `done` returns true, and fails the test if it does not within 20 s. The timeout is
/// generous, since it only ends a test that hangs.
template<typename Done>
void run_until(boost::asio::io_context& loop, Done done)
{
    auto deadline = AK::BootClock::now() + std::chrono::seconds(20);
    while (!done()) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(10));
        REQUIRE(AK::BootClock::now() < deadline);
    }
}

/// Blocks without running the event loop under test, as when its process gets no CPU time.
inline void stall_for(AK::BootClock::duration duration)
{
    boost::asio::io_context waiting_loop;
    AK::Timer timer(waiting_loop, duration);
    timer.async_wait([](boost::system::error_code) {});
    waiting_loop.run();
}

}
