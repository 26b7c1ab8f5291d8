/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Support/TestFleet.h>
#include <catch2/catch.hpp>
#include <set>

using StandIns::PlatformFault;

static std::set<u64> revisions(TestFleet& fleet)
{
    std::set<u64> seen;
    for (auto& gateway : fleet.gateways)
        seen.insert(gateway->daemon.on_loop([&] { return gateway->daemon.node->configuration().revision().value(); }));
    for (auto& router : fleet.routers)
        seen.insert(router->on_loop([&] { return router->node->configuration().revision().value(); }));
    return seen;
}

/// The revisions that were in force at each process, according to its own events.
static History::Record revisions_seen(TestFleet& fleet)
{
    History::Record record;
    auto add = [&](Node::Node& node) {
        for (auto const& event : node.events().latest(10'000)) {
            if (event.number == Core::EventNumber::RevisionInForce)
                record.revisions.push_back({ event.member.value(), 1, std::stoull(event.subject) });
        }
    };
    for (auto& gateway : fleet.gateways)
        add(*gateway->daemon.node);
    for (auto& router : fleet.routers)
        add(*router->node);
    return record;
}

SCENARIO("an accepted change comes into force everywhere and never reverts")
{
    TestFleet fleet;
    for (int i = 0; i < 10; ++i)
        fleet.apply(R"({"putModel":{"id":"model-)" + std::to_string(i) + "\"}}");
    wait_until("revision 18 everywhere", [&] { return revisions(fleet) == std::set<u64> { 18 }; });
    CHECK(History::check_revisions_monotonic(revisions_seen(fleet)).empty());

    WHEN("the platform is unavailable")
    {
        fleet.platform->set_fault(0, PlatformFault::Disconnect);
        THEN("callers are served on the last revision")
        {
            CHECK(fleet.caller().generate(0, "summary", "x [tokens=5]", 10s).outcome == "completed");
        }
        THEN("a starting gateway gets the configuration and the backend servers from its peers")
        {
            fleet.gateways[1].reset();
            fleet.start_gateway(1);
            wait_until("the new gateway to be ready", [&] { return fleet.gateways[1]->daemon.node->is_ready(); });
            wait_until("revision 18 everywhere", [&] { return revisions(fleet) == std::set<u64> { 18 }; });
            wait_until("it to serve",
                [&] { return fleet.caller().generate(1, "summary", "x [tokens=5]", 10s).outcome == "completed"; });
        }
        THEN("a change is in force once the platform is back")
        {
            fleet.apply(R"({"putModel":{"id":"late"}})");
            fleet.platform->set_fault(0, PlatformFault::None);
            wait_until("revision 19 everywhere", [&] { return revisions(fleet) == std::set<u64> { 19 }; });
            CHECK(History::check_revisions_monotonic(revisions_seen(fleet)).empty());
        }
    }
}

SCENARIO("a host with neither platform nor peers reports that it is not ready")
{
    TestFleet fleet({ .gateways = 1, .routers = 1 });
    fleet.platform->set_fault(0, PlatformFault::Disconnect);
    fleet.gateways[0].reset();
    fleet.kill_router(0);
    fleet.start_gateway(0);
    auto& node = *fleet.gateways[0]->daemon.node;
    wait_until("a request to the platform to fail", [&] {
        return std::ranges::any_of(node.events().latest(100),
            [](auto const& event) { return event.number == Core::EventNumber::PlatformUnavailable; });
    });
    CHECK_FALSE(node.is_ready());
    CHECK(node.readiness_reason().find("neither the platform nor a peer") != std::string::npos);
    auto refused = fleet.caller().generate(0, "summary", "x [tokens=5]", 5s);
    CHECK(refused.outcome == "not_run");
    CHECK(refused.status == 503);
    CHECK(refused.had_retry_after);
}

SCENARIO("a gateway that knows no router is not ready")
{
    TestFleet fleet({ .gateways = 1, .routers = 1 });
    fleet.gateways[0].reset();
    fleet.kill_router(0);
    fleet.start_gateway(0);
    auto& daemon = fleet.gateways[0]->daemon;
    wait_until("the configuration",
        [&] { return daemon.on_loop([&] { return daemon.node->configuration().revision() == Revision(8); }); });
    CHECK_FALSE(daemon.node->is_ready());
    CHECK(daemon.node->readiness_reason().find("no router") != std::string::npos);
    fleet.start_router(0);
    wait_until("the gateway to be ready", [&] { return daemon.node->is_ready(); });
}

SCENARIO("a domain without the platform gets the configuration from another domain")
{
    TestFleet fleet({ .gateways = 1, .routers = 1 });
    fleet.platform->set_fault(0, PlatformFault::Disconnect);
    auto isolated_router = fleet.start_remote_router();
    wait_until("the configuration", [&] {
        return isolated_router->on_loop(
            [&] { return isolated_router->node->configuration().revision() == Revision(8); });
    });
    CHECK(isolated_router->node->is_ready());
    CHECK(isolated_router->on_loop([&] { return isolated_router->node->members().others().empty(); }));
}

SCENARIO("a key that is taken away opens nothing any more")
{
    TestFleet fleet;
    CHECK(fleet.caller("hanak-key").generate(0, "summary", "x [tokens=2]", 10s).outcome == "completed");
    fleet.apply(R"({"deleteOrganisation":"hanak"})");
    wait_until("revision 9 everywhere", [&] { return revisions(fleet) == std::set<u64> { 9 }; });
    CHECK(fleet.caller("hanak-key").generate(0, "summary", "x [tokens=2]", 10s).status == 401);
}
