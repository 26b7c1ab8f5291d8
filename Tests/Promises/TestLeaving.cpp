/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpCall.h>
#include <Tests/Support/TestFleet.h>
#include <catch2/catch.hpp>

static size_t executions_at(StandIns::FakeEngine& engine)
{
    auto history = engine.history();
    return static_cast<size_t>(std::ranges::count(history, '\n'));
}

static bool all_see_leaving(TestFleet& fleet, std::string const& id)
{
    for (auto& gateway : fleet.gateways) {
        if (!gateway->daemon.on_loop([&] { return gateway->daemon.node->is_leaving(EngineId(id)); }))
            return false;
    }
    for (auto& router : fleet.routers) {
        if (!router->on_loop([&] { return router->node->is_leaving(EngineId(id)); }))
            return false;
    }
    return true;
}

SCENARIO("a backend server that is leaving gets no new work, and what it runs runs to its end")
{
    TestFleet fleet;
    auto results = fleet.generate(8, 150, [&] {
        wait_until("both engines to be at work",
            [&] { return executions_at(*fleet.engines[0]) > 0 && executions_at(*fleet.engines[1]) > 0; });
        WHEN("it announces its leaving itself") { fleet.engines[0]->control("leave", {}); }
        WHEN("an operator drains it") { fleet.apply(R"({"drain":{"id":"engine-0","draining":true}})"); }
        wait_until(
            "all gateways and routers to know that it leaves", [&] { return all_see_leaving(fleet, "engine-0"); });
        auto before = executions_at(*fleet.engines[0]);
        auto more = fleet.generate(6, 10);
        CHECK(std::ranges::all_of(more, [](auto const& result) { return result.outcome == "completed"; }));
        CHECK(executions_at(*fleet.engines[0]) == before);
    });
    CHECK(std::ranges::all_of(results, [](auto const& result) { return result.outcome == "completed"; }));
    CHECK(History::check_all(fleet.record(results)).empty());
}

SCENARIO("an engine turns a request away because it is leaving, before anyone has heard of it")
{
    TestFleet fleet;
    // Both routers notice only at their next load polls that the engine leaves; the requests race with the polls.
    fleet.engines[0]->control("leave", {});
    auto results = fleet.generate(6, 10);
    CHECK(std::ranges::all_of(results, [](auto const& result) { return result.outcome == "completed"; }));
    CHECK(executions_at(*fleet.engines[0]) == 0);
}

SCENARIO("a gateway that stops accepting refuses connections and serves what is open")
{
    TestFleet fleet({ .gateways = 1 });
    Address gateway("127.0.0.1:" + std::to_string(fleet.gateways[0]->frontend.port()));
    auto results = fleet.generate(4, 100, [&] {
        wait_until(
            "work to begin", [&] { return executions_at(*fleet.engines[0]) + executions_at(*fleet.engines[1]) == 4; });
        fleet.gateways[0]->frontend.stop_accepting();
        CHECK_FALSE(Platform::connect_http(gateway, 1s).has_value());
    });
    CHECK(std::ranges::all_of(results, [](auto const& result) { return result.outcome == "completed"; }));
}

SCENARIO("a router that leaves hands its queue on")
{
    // Two generations fit at a time.
    TestFleet fleet({ .engines = 1, .engine_capacity = 350 });
    auto leaving_router = fleet.owner();
    auto results = fleet.generate(8, 60, [&] {
        auto& router = *fleet.routers[leaving_router];
        wait_until("a queue", [&] { return router.on_loop([&] { return router.component->queued_count() > 2; }); });
        router.on_loop([&] {
            router.node->begin_leaving();
            return true;
        });
        wait_until("another owner", [&] { return fleet.owner() == 1 - leaving_router; });
        fleet.kill_router(leaving_router);
    });
    for (auto const& result : results)
        CHECK(result.error == "");
    CHECK(std::ranges::all_of(results, [](auto const& result) { return result.outcome == "completed"; }));
    CHECK(History::check_all(fleet.record(results)).empty());
}
