/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/BackgroundCaller.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Mailbox.h>
#include <catch2/catch.hpp>
#include <thread>

SCENARIO("callbacks posted by one thread run on the loop in order")
{
    Core::EventLoop loop;
    std::vector<int> seen;
    std::thread poster([&] {
        for (int i = 0; i < 1000; ++i)
            loop.post([&seen, i] { seen.push_back(i); });
        loop.post([&loop] { loop.stop(); });
    });
    loop.run();
    poster.join();
    REQUIRE(seen.size() == 1000);
    CHECK(std::is_sorted(seen.begin(), seen.end()));
}

SCENARIO("timers run in the order in which they are due")
{
    Core::EventLoop loop;
    std::string order;
    loop.after(20ms, [&] {
        order += 'b';
        loop.stop();
    });
    loop.after(1ms, [&] { order += 'a'; });
    loop.run();
    CHECK(order == "ab");
}

SCENARIO("a background call delivers its result on the loop")
{
    Core::EventLoop loop;
    auto loop_thread = std::this_thread::get_id();
    std::thread::id call_thread;
    std::thread::id result_thread;
    Core::BackgroundCaller background(loop, 1);
    background.submit([&] { return std::this_thread::get_id(); },
        [&](std::thread::id id) {
            call_thread = id;
            result_thread = std::this_thread::get_id();
            loop.stop();
        });
    loop.run();
    CHECK(call_thread != loop_thread);
    CHECK(result_thread == loop_thread);
}

SCENARIO("a mailbox returns a message, or nothing after the timeout")
{
    Core::Mailbox<int> mailbox;
    CHECK_FALSE(mailbox.take(1ms));
    mailbox.put(7);
    CHECK(mailbox.take(1s) == 7);
}
