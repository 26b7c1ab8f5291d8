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

SCENARIO("a connection attempt shows whether a backend server's process has terminated")
{
    Http::asio::io_context loop;
    ProcessCheck check(loop);
    Backend backend;
    backend.endpoint = Test::free_endpoint();
    std::vector<ProcessState> states;
    auto query = [&] { check.query(backend, [&](ProcessState state) { states.push_back(state); }); };

    GIVEN("a process that listens")
    {
        Http::tcp::acceptor acceptor(loop, backend.endpoint);
        WHEN("two requests query it at once")
        {
            query();
            query();
            THEN("one connection shows both requests that it is running")
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
        WHEN("it terminates between two queries")
        {
            query();
            Test::run_until(loop, [&] { return states.size() == 1; });
            acceptor.close();
            query();
            Test::run_until(loop, [&] { return states.size() == 2; });
            THEN("the second query detects it") { CHECK(states.back() == ProcessState::Terminated); }
        }
    }
    GIVEN("a process whose host does not respond because its accept queue is full")
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
        query();
        Test::run_until(loop, [&] { return states.size() == 1; });
        THEN("the state of the process is unknown") { CHECK(states.back() == ProcessState::Unknown); }
    }
}
