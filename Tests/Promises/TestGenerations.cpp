/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpCall.h>
#include <Tests/Support/TestFleet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

static size_t count_outcome(std::vector<GenerationResult> const& results, std::string const& outcome)
{
    return static_cast<size_t>(std::ranges::count(results, outcome, [](auto const& result) { return result.outcome; }));
}

static void check_history(TestFleet const& fleet, std::vector<GenerationResult> const& results)
{
    auto violations = History::check_all(fleet.record(results));
    INFO(describe(violations));
    CHECK(violations.empty());
}

static bool has_started_work(StandIns::FakeEngine& engine) { return !engine.history().empty(); }

/// Whether an engine has produced a token.
static bool has_produced_token(StandIns::FakeEngine& engine)
{
    return engine.history().find("\"tokens\":[\"") != std::string::npos;
}

SCENARIO("callers get whole answers, each its own")
{
    TestFleet fleet;
    auto results = fleet.generate(24, 30);
    CHECK(count_outcome(results, "completed") == 24);
    check_history(fleet, results);
}

SCENARIO("the link to an engine breaks in the middle of answers")
{
    TestFleet fleet;
    auto results = fleet.generate(12, 60, [&] {
        for (auto& engine : fleet.engines)
            wait_until("tokens to flow", [&] { return has_produced_token(*engine); });
        for (int i = 0; i < 5; ++i) {
            for (auto& engine : fleet.engines)
                engine->control("cut", {});
        }
    });
    CHECK(count_outcome(results, "completed") == 12);
    check_history(fleet, results);
}

SCENARIO("the link to an engine stalls without closing, and comes back")
{
    TestFleet fleet;
    auto results = fleet.generate(6, 60, [&] {
        for (auto& engine : fleet.engines)
            wait_until("tokens to flow", [&] { return has_produced_token(*engine); });
        fleet.engines[0]->control("freeze", {});
        wait_until("a gateway to notice", [&] {
            return std::ranges::any_of(fleet.gateways, [](auto const& gateway) {
                return std::ranges::any_of(gateway->daemon.node->events().latest(1000),
                    [](auto const& event) { return event.number == Core::EventNumber::StreamResumed; });
            });
        });
        fleet.engines[0]->control("thaw", {});
    });
    CHECK(count_outcome(results, "completed") == 6);
    check_history(fleet, results);
}

SCENARIO("an engine loses a generation of which tokens were delivered")
{
    TestFleet fleet({ .engines = 1 });
    auto results = fleet.generate(4, 2000, [&] {
        wait_until("tokens to be delivered", [&] {
            size_t delivered = 0;
            for (auto& gateway : fleet.gateways) {
                for (auto const& event : gateway->daemon.node->events().latest(1000))
                    delivered += event.number == Core::EventNumber::FirstTokenDelivered;
            }
            return delivered == 4;
        });
        fleet.engines[0]->control("forget", {});
    });
    THEN("the caller immediately gets the outcome may_have_run and no token of another generation")
    {
        CHECK(count_outcome(results, "may_have_run") == 4);
        for (auto const& result : results)
            CHECK(result.error == "generation_lost");
        check_history(fleet, results);
    }
}

SCENARIO("an engine is lost before the first token")
{
    TestFleet fleet;
    for (auto& engine : fleet.engines)
        engine->control("scale", { { "factor", "2000" } });
    auto results = fleet.generate(1, 20, [&] {
        wait_until("an engine to begin",
            [&] { return has_started_work(*fleet.engines[0]) || has_started_work(*fleet.engines[1]); });
        auto holder = has_started_work(*fleet.engines[0]) ? 0u : 1u;
        fleet.engines[1 - holder]->control("scale", { { "factor", "0.25" } });
        fleet.engines[holder]->control("forget", {});
    });
    THEN("another engine produces the complete response")
    {
        CHECK(count_outcome(results, "completed") == 1);
        auto record = fleet.record(results);
        CHECK(record.executions.size() == 2);
        CHECK(History::check_all(record).empty());
    }
}

SCENARIO("a generation is lost before its first token and no other engine takes it")
{
    TestFleet fleet({ .engines = 1 });
    fleet.engines[0]->control("scale", { { "factor", "2000" } });
    GenerationResult result;
    std::thread waiting([&] { result = fleet.caller().generate(0, "summary", "x [tokens=20]", 2s); });
    wait_until("the engine to begin", [&] { return has_started_work(*fleet.engines[0]); });
    fleet.engines[0]->control("forget", {});
    waiting.join();
    THEN("the refusal does not say that it was not run")
    {
        CHECK(result.outcome == "may_have_run");
        CHECK(History::check_all(fleet.record({ result })).empty());
    }
}

SCENARIO("a caller goes on through another gateway")
{
    TestFleet fleet;
    // The caller closes its connection after the first line of the stream, as when its gateway disappears.
    auto first = Address("127.0.0.1:" + std::to_string(fleet.gateways[0]->frontend.port()));
    std::string body = R"({"model":"summary","prompt":"Lane 4 [tokens=300]","stream":true})";
    auto session = Platform::connect_http(first, 5s);
    REQUIRE(session.has_value());
    auto request = Platform::make_http_request(
        first, { "POST", "/v1/completions", body, { { "Authorization", "Bearer toll-key" } } });
    session.value()->sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& stream = session.value()->receiveResponse(response);
    std::string line;
    REQUIRE(std::getline(stream, line));
    auto generation = response.get("Lilactiller-Generation");
    auto token = response.get("Lilactiller-Resume-Token");
    session.value().reset();

    auto resume = [&](std::string const& key, std::string const& with_token) {
        Address second("127.0.0.1:" + std::to_string(fleet.gateways[1]->frontend.port()));
        return Platform::call_http(second,
            { "GET", "/v1/generations/" + generation + "/stream?next_offset=1", "",
                { { "Authorization", "Bearer " + key }, { "Lilactiller-Resume-Token", with_token } } },
            30s);
    };
    WHEN("it is the caller's own")
    {
        auto resumed = resume("toll-key", token);
        REQUIRE(resumed.has_value());
        CHECK(resumed.value().status == 200);
        THEN("the tokens continue where they stopped, to the end")
        {
            CHECK(resumed.value().body.find("\"offset\":0,") == std::string::npos);
            CHECK(resumed.value().body.find("\"offset\":1}") != std::string::npos);
            CHECK(resumed.value().body.find("\"offset\":299}") != std::string::npos);
            CHECK(resumed.value().body.find("\"outcome\":\"completed\"") != std::string::npos);
            CHECK(fleet.record({}).executions.size() == 1);
        }
    }
    WHEN("another organisation has got hold of the token") { CHECK(resume("hanak-key", token).value().status == 403); }
    WHEN("the token was altered") { CHECK(resume("toll-key", token + "0").value().status == 403); }
}

SCENARIO("the router that owns a pool terminates under load")
{
    TestFleet fleet;
    auto killed_router = fleet.owner();
    auto results = fleet.generate(20, 120, [&] {
        wait_until("tokens to flow", [&] { return has_produced_token(*fleet.engines[0]); });
        fleet.kill_router(killed_router);
        wait_until("another owner", [&] { return fleet.owner() == 1 - killed_router; });
        auto more = fleet.generate(4, 10);
        CHECK(count_outcome(more, "completed") == 4);
    });
    CHECK(count_outcome(results, "completed") == 20);
    check_history(fleet, results);
}

SCENARIO("what cannot be served in time is refused at once as not run")
{
    TestFleet fleet({ .engines = 1, .engine_capacity = 800 });
    fleet.engines[0]->control("scale", { { "factor", "20" } });
    std::atomic<int> refused { 0 };
    auto client = fleet.caller();
    auto running = fleet.generate(2, 40, [&] {
        wait_until("the engine to be busy", [&] { return has_started_work(*fleet.engines[0]); });
        for (int i = 0; i < 5; ++i) {
            auto result = CallerClient(client).generate(0, "summary", std::string(2800, 'x'), 50ms);
            CHECK(result.outcome == "not_run");
            CHECK(result.had_retry_after);
            CHECK(fleet.record({}).executions.size() <= 2);
            refused += result.outcome == "not_run";
        }
    });
    CHECK(refused == 5);
    CHECK(History::check_all(fleet.record(running)).empty());
}

SCENARIO("no organisation reaches what belongs to another")
{
    TestFleet fleet;
    auto toll = fleet.caller("toll-key").generate(0, "only-toll", "x [tokens=3]", 10s);
    CHECK(toll.outcome == "completed");
    auto hanak = fleet.caller("hanak-key").generate(0, "only-toll", "x [tokens=3]", 10s);
    CHECK(hanak.status == 404);
    CHECK(hanak.outcome == "not_run");
    auto nobody = fleet.caller("wrong-key").generate(0, "summary", "x [tokens=3]", 10s);
    CHECK(nobody.status == 401);
    auto service = fleet.caller("toll-key").call_service(0, "GET", "/v1/services/till/receipts/1", "", "");
    CHECK(service.status == 404);
    CHECK(fleet.services[0]->execution_count() + fleet.services[1]->execution_count() == 0);
}
