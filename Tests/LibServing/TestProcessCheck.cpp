/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ProcessCheck.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <catch2/catch.hpp>

using namespace Serving;

SCENARIO("a connection tells whether a backend server's process has ended")
{
    Http::asio::io_context loop;
    ProcessCheck check(loop);
    Backend backend;
    backend.endpoint = Test::free_endpoint();
    std::vector<ProcessState> states;
    auto ask = [&] { check.query(backend, [&](ProcessState state) { states.push_back(state); }); };

    GIVEN("a process that listens")
    {
        Http::tcp::acceptor acceptor(loop, backend.endpoint);
        WHEN("two requests ask at once")
        {
            ask();
            ask();
            THEN("both hear that it lives, from one connection")
            {
                Test::run_until(loop, [&] { return states.size() == 2; });
                CHECK(states == std::vector { ProcessState::Listening, ProcessState::Listening });
                acceptor.non_blocking(true);
                boost::system::error_code error;
                acceptor.accept(error);
                CHECK(!error);
                acceptor.accept(error);
                CHECK(error == boost::asio::error::would_block);
            }
        }
        WHEN("it ends between two questions")
        {
            ask();
            Test::run_until(loop, [&] { return states.size() == 1; });
            acceptor.close();
            ask();
            Test::run_until(loop, [&] { return states.size() == 2; });
            THEN("the second one finds that") { CHECK(states.back() == ProcessState::Terminated); }
        }
    }
    GIVEN("a process whose host answers nothing, since its queue of connections is full")
    {
        Http::tcp::acceptor acceptor(loop);
        acceptor.open(backend.endpoint.protocol());
        acceptor.bind(backend.endpoint);
        acceptor.listen(0);
        std::vector<std::unique_ptr<Http::tcp::socket>> waiting;
        for (int i = 0; i < 3; ++i) {
            waiting.push_back(std::make_unique<Http::tcp::socket>(loop));
            waiting.back()->async_connect(backend.endpoint, [](boost::system::error_code) {});
        }
        loop.run_for(20ms);
        ask();
        Test::run_until(loop, [&] { return states.size() == 1; });
        THEN("its end is not known") { CHECK(states.back() == ProcessState::Unknown); }
    }
}
