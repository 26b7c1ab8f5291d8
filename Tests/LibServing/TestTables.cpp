/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/RoutingTable.h>
#include <catch2/catch.hpp>

using namespace Serving;

static Route route(std::string name, std::string prefix)
{
    Route made;
    made.name = RouteName(std::move(name));
    made.host = "tolls.example";
    made.path_prefix = std::move(prefix);
    made.services = { { ServiceName("lanes"), 90 }, { ServiceName("new-lanes"), 10 } };
    return made;
}

static BackendServer server(std::string const& id, std::string const& domain = "hall-a", u32 slots = 4)
{
    BackendServer made;
    made.id = EngineId(id);
    made.service = ServiceName("lanes");
    made.address = Address("127.0.0.1:1000");
    made.failure_domain = FailureDomainId(domain);
    made.slots = slots;
    return made;
}

SCENARIO("a request's route is the longest prefix of its path")
{
    Configuration configuration;
    configuration.routes = { route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/") };
    RoutingTable table(configuration);
    CHECK(table.find_route("tolls.example", "/a/b/c")->name == RouteName("long"));
    CHECK(table.find_route("tolls.example", "/a/x")->name == RouteName("short"));
    CHECK(table.find_route("tolls.example", "/a") == nullptr);
    CHECK(table.find_route("other.example", "/a/x") == nullptr);

    THEN("a split always sends an attempt to the same service, and gives each service its share of all attempts")
    {
        auto const* split = table.find_route("tolls.example", "/a/x");
        int to_new = 0;
        for (int i = 0; i < 1000; ++i) {
            auto attempt = "attempt-" + std::to_string(i);
            CHECK(choose_service(*split, attempt) == choose_service(*split, attempt));
            to_new += choose_service(*split, attempt) == ServiceName("new-lanes");
        }
        CHECK(to_new > 60);
        CHECK(to_new < 140);
    }
}

SCENARIO("what is believed of a backend server only moves towards its end")
{
    BackendTable table;
    Instant const now { 10s };
    auto backend = table.update(server("s1"), now);
    REQUIRE(backend);
    CHECK(table.update(server("s1"), now) == nullptr);

    auto leaving = server("s1");
    leaving.is_leaving = true;
    table.update(leaving, now);
    CHECK(backend->availability == Availability::Leaving);
    WHEN("an older row is applied again")
    {
        table.update(server("s1"), now);
        CHECK(backend->availability == Availability::Leaving);
    }
    WHEN("it is removed")
    {
        table.remove(EngineId("s1"), now);
        CHECK(backend->availability == Availability::Removed);
        CHECK(table.of_service(ServiceName("lanes")).empty());
    }
}

SCENARIO("a call goes to the least busy healthy backend server")
{
    boost::random::mt19937 random(1);
    BackendTable table;
    Instant const now { 10s };
    auto near = table.update(server("near"), now);
    auto far = table.update(server("far", "hall-b"), now);
    auto const& all = table.of_service(ServiceName("lanes"));
    ChoiceInputs inputs { FailureDomainId("hall-a"), {}, now, 0.1 };
    auto choose = [&](std::vector<EngineId> const& tried = {}) {
        return choose_for_call(all, tried, inputs, random)->server.id.value();
    };

    CHECK(choose() == "near");
    CHECK(choose({ EngineId("near") }) == "far");
    WHEN("the local server is clearly busier")
    {
        near->in_flight = 2;
        CHECK(choose() == "far");
    }
    WHEN("the local server is unreachable")
    {
        record_failure(*near, now, true);
        CHECK(choose() == "far");
        THEN("it is used again after the avoidance time")
        {
            inputs.now = now + 300ms;
            record_success(*near);
            near->health.failure_share = 0;
            CHECK(choose() == "near");
        }
    }
    WHEN("requests to the local server fail")
    {
        for (int i = 0; i < 3; ++i)
            record_failure(*near, now, false);
        CHECK(choose() == "far");
        CHECK_FALSE(near->is_avoided(now));
    }
    WHEN("the remote server's domain is silent and the local server is busier")
    {
        inputs.silent_domains = { FailureDomainId("hall-b") };
        near->in_flight = 4;
        CHECK(choose() == "near");
    }
    WHEN("all servers are leaving")
    {
        near->availability = far->availability = Availability::Leaving;
        CHECK(choose_for_call(all, {}, inputs, random) == nullptr);
    }
}

SCENARIO("a generation goes to the engine with the fewest unread prompt tokens and enough free memory")
{
    boost::random::mt19937 random(1);
    BackendTable table;
    Instant const now { 10s };
    auto one = table.update(server("one", "hall-a", 64), now);
    auto two = table.update(server("two", "hall-a", 64), now);
    auto const& all = table.of_service(ServiceName("lanes"));
    ChoiceInputs inputs { FailureDomainId("hall-a"), {}, now, 0.3 };
    GenerationNeed const need { TokenCount(3000), TokenCount(800) };
    auto choose
        = [&] { return choose_for_generation(all, {}, need, TokenCount(34'000), inputs, random)->server.id.value(); };

    one->engine.own_unread_tokens = 3000;
    one->engine.own_tokens = 3000;
    CHECK(choose() == "two");
    WHEN("another host has placed more tokens on the other engine")
    {
        two->engine.peer_unread_tokens = 9000;
        two->engine.peer_tokens = 9000;
        CHECK(choose() == "one");
    }
    WHEN("the other engine reports that its memory is full")
    {
        two->engine.report = EngineReport { 8, 0, TokenCount(33'000), TokenCount(34'000), false, {} };
        two->engine.report_received_at = now;
        CHECK(choose() == "one");
        THEN("an old report is ignored")
        {
            inputs.now = now + 10s;
            CHECK(choose() == "two");
        }
    }
}

SCENARIO("engines that leave together spread their generations over the links of those that stay")
{
    // Ten engines of a pool leave at nearly the same time, each with a few generations of 4,000 tokens. One engine has
    // just been added and is empty. A copy of that size occupies a link for 0.22 s (164 KB per token, 24 Gbit/s), and
    // the leaving engines terminate in a second and a half.
    boost::random::mt19937 random(1);
    BackendTable table;
    Instant const now { 10s };
    auto empty = table.update(server("empty", "hall-a", 64), now);
    auto half_full = table.update(server("half-full", "hall-a", 64), now);
    auto const& all = table.of_service(ServiceName("lanes"));
    half_full->engine.own_tokens = 12'000;
    ChoiceInputs inputs { FailureDomainId("hall-a"), {}, now, 0.5, 18'300 };
    auto choose = [&] {
        return choose_for_generation(all, {}, { TokenCount(4000), TokenCount(0) }, TokenCount(34'000), inputs, random)
            ->server.id.value();
    };
    CHECK(choose() == "empty");
    WHEN("other hosts are copying two generations to the empty engine")
    {
        empty->engine.peer_incoming_tokens = 8'000;
        empty->engine.peer_tokens = 8'000;
        THEN("the next copy goes to another engine, although the empty one has more free memory")
        {
            CHECK(choose() == "half-full");
        }
        THEN("a new generation, which needs no copy, still goes to the empty engine")
        {
            inputs.copied_tokens_per_second = {};
            CHECK(choose() == "empty");
        }
    }
}

SCENARIO("a backend server that is removed from the list may run for some seconds more")
{
    BackendTable table;
    Instant const now { 10s };
    auto engine = table.update(server("e1"), now);
    CHECK(table.find_running(EngineId("e1")) == engine);
    table.remove(EngineId("e1"), now);
    CHECK_FALSE(table.find(EngineId("e1")));
    CHECK(table.find_running(EngineId("e1")) == engine);
    CHECK(table.running().size() == 1);
    WHEN("it is added again")
    {
        auto returned = table.update(server("e1"), now + 1s);
        THEN("it is a new table entry")
        {
            CHECK(table.find_running(EngineId("e1")) == returned);
            CHECK(table.running().size() == 1);
        }
    }
    WHEN("the maximum run time after a removal is over")
    {
        table.expire_removed(now + 1min);
        CHECK_FALSE(table.find_running(EngineId("e1")));
        CHECK(table.running().empty());
    }
}
