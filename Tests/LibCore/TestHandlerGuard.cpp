/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <LibCore/HandlerGuard.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <optional>

namespace {

/// Counts calls of its handler in a variable that outlives it.
struct Owner {
    Owner(boost::asio::io_context& loop, int& calls)
        : timer(loop, AK::BootClock::now())
    {
        this->timer.async_wait(this->guard.wrap([&calls](boost::system::error_code error) {
            if (!error)
                ++calls;
        }));
    }

    AK::Timer timer;
    Core::HandlerGuard guard;
};

}

SCENARIO("a completion that is due does not run once its object is gone")
{
    boost::asio::io_context loop;
    int calls = 0;
    std::optional<Owner> owner(std::in_place, loop, calls);

    WHEN("the object exists")
    {
        loop.run();
        CHECK(calls == 1);
    }
    WHEN("the object is destroyed while the completion is queued")
    {
        // The loop queues expired timers behind this function.
        boost::asio::post(loop, [&] { owner.reset(); });
        loop.run();
        CHECK(calls == 0);
    }
}
