/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Evacuations.h>
#include <LibServing/ServiceReachability.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

FailureDomainId const hall_a("hall-a");
FailureDomainId const hall_b("hall-b");

/// A host that knows one engine in each of two failure domains.
struct EvacuatingHost {
    EvacuatingHost()
        : log([](std::string_view text) { return text.size(); })
        , context(loop, settings, log)
        , evacuations(context)
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->add("a1", hall_a);
        this->add("b1", hall_b);
    }

    void add(std::string const& id, FailureDomainId const& domain)
    {
        BackendServer server;
        server.id = EngineId(id);
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = domain;
        server.slots = 24;
        this->context.backends.update(server, this->now);
    }

    [[nodiscard]] std::string generation_goes_to()
    {
        auto chosen = choose_for_generation(this->context.backends.of_service(ServiceName("models")), {},
            { TokenCount(1000), TokenCount(100) }, TokenCount(20'000), this->context.choice_inputs(0),
            this->context.random);
        return chosen ? chosen->server.id.value() : "none";
    }
    [[nodiscard]] std::string call_goes_to()
    {
        auto chosen = choose_for_call(this->context.backends.of_service(ServiceName("models")), {},
            this->context.choice_inputs(0), this->context.random);
        return chosen ? chosen->server.id.value() : "none";
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log;
    ServingContext context;
    Evacuations evacuations;
    Instant now { 100s };
};

}

SCENARIO("nothing new is sent to a failure domain that the operator has emptied")
{
    EvacuatingHost host;
    WHEN("one domain is evacuated")
    {
        host.evacuations.apply_order(hall_a, 7);
        THEN("generations, copies and calls go to the other one, regardless of its load")
        {
            host.context.backends.find(EngineId("b1"))->engine.own_tokens = 50'000;
            host.context.backends.find(EngineId("b1"))->in_flight = 100;
            CHECK(host.generation_goes_to() == "b1");
            CHECK(host.call_goes_to() == "b1");
        }
        THEN("a backend server that appears there gets nothing either")
        {
            host.add("a2", hall_a);
            CHECK_FALSE(host.context.backends.find(EngineId("a2"))->takes_work());
        }
        THEN("a backend server that moves to another domain gets work")
        {
            host.add("a1", hall_b);
            CHECK(host.context.backends.find(EngineId("a1"))->takes_work());
        }
        AND_WHEN("the order is revoked")
        {
            host.evacuations.apply_revocation(hall_a, 9);
            CHECK(host.context.backends.find(EngineId("a1"))->takes_work());
            THEN("an order with an older version does not restore it")
            {
                host.evacuations.apply_order(hall_a, 8);
                CHECK_FALSE(host.evacuations.is_evacuated(hall_a));
            }
            THEN("an order with a newer version does")
            {
                host.evacuations.apply_order(hall_a, 10);
                CHECK(host.evacuations.is_evacuated(hall_a));
            }
        }
        AND_WHEN("the other domain is evacuated too")
        {
            host.evacuations.apply_order(hall_b, 8);
            THEN("nothing is sent at all")
            {
                CHECK(host.generation_goes_to() == "none");
                CHECK(host.call_goes_to() == "none");
            }
        }
    }
    WHEN("a full list of orders arrives")
    {
        host.evacuations.apply_order(hall_a, 7);
        host.evacuations.apply_list({ { hall_b, 9 } }, 12);
        THEN("orders that it does not contain are revoked")
        {
            CHECK_FALSE(host.evacuations.is_evacuated(hall_a));
            CHECK(host.evacuations.is_evacuated(hall_b));
        }
        THEN("an older order for a domain that it does not contain is ignored")
        {
            host.evacuations.apply_order(FailureDomainId("hall-c"), 11);
            CHECK_FALSE(host.evacuations.is_evacuated(FailureDomainId("hall-c")));
        }
        THEN("an older list changes nothing")
        {
            host.evacuations.apply_list({}, 10);
            CHECK(host.evacuations.is_evacuated(hall_b));
        }
    }
    WHEN("a list is older than the last known order")
    {
        host.evacuations.apply_order(hall_a, 7);
        host.evacuations.apply_list({}, 5);
        CHECK(host.evacuations.is_evacuated(hall_a));
    }
    WHEN("an order names a domain without known backend servers")
    {
        host.evacuations.apply_order(FailureDomainId("hall-z"), 7);
        CHECK(host.generation_goes_to() != "none");
        THEN("it applies to backend servers that are added later")
        {
            host.add("z1", FailureDomainId("hall-z"));
            CHECK_FALSE(host.context.backends.find(EngineId("z1"))->takes_work());
        }
    }
}

SCENARIO("words of orders to empty domains in any order leave what the table says last")
{
    CHECK(rc::check([] {
        // The history of the table: each version issues or revokes the order for one domain.
        struct Change {
            FailureDomainId domain;
            bool is_order { false };
        };
        std::vector<Change> history;
        auto const length = *rc::gen::inRange(1, 20);
        for (int i = 0; i < length; ++i)
            history.push_back({ *rc::gen::arbitrary<bool>() ? hall_a : hall_b, *rc::gen::arbitrary<bool>() });

        EvacuatingHost host;
        auto apply_row = [&](size_t version) {
            auto const& change = history[version - 1];
            if (change.is_order)
                host.evacuations.apply_order(change.domain, version);
            else
                host.evacuations.apply_revocation(change.domain, version);
        };
        auto state_at = [&](size_t version) {
            std::map<FailureDomainId, u64> orders;
            for (size_t i = 1; i <= version; ++i) {
                auto const& change = history[i - 1];
                if (change.is_order)
                    orders[change.domain] = i;
                else
                    orders.erase(change.domain);
            }
            return orders;
        };
        // Applies any rows and lists, repeated and out of order, and then every row of the table once.
        auto const updates = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-length, length + 1));
        for (auto update : updates) {
            if (update > 0)
                apply_row(static_cast<size_t>(update));
            else if (update < 0)
                host.evacuations.apply_list(state_at(static_cast<size_t>(-update)), static_cast<u64>(-update));
        }
        for (int i = 1; i <= length; ++i)
            apply_row(static_cast<size_t>(i));
        auto const last = state_at(history.size());
        for (auto const& domain : { hall_a, hall_b }) {
            RC_ASSERT(host.evacuations.is_evacuated(domain) == last.contains(domain));
            for (auto const& [id, backend] : host.context.backends.all()) {
                if (backend->server.failure_domain == domain)
                    RC_ASSERT(backend->takes_work() != last.contains(domain));
            }
        }
    }));
}

SCENARIO("a host is not ready while its domain is evacuated and the other domains are unreachable")
{
    EvacuatingHost host;
    Configuration configuration;
    configuration.services.push_back({ ServiceName("models"), 64, {} });
    RoutingTable const routing(std::move(configuration));
    std::vector<FailureDomainId> const silent { hall_b };
    auto unreachable = host.context.backends.find(EngineId("b1"));
    unreachable->health.unreachable_at = host.now;
    auto find_unreachable = [&] { return unreachable_services(host.context.backends, routing, silent, host.now); };
    CHECK(find_unreachable().empty());
    WHEN("its own domain is evacuated and the other one is partitioned")
    {
        host.evacuations.apply_order(hall_a, 7);
        CHECK(find_unreachable() == std::vector { ServiceName("models") });
    }
    WHEN("all domains are evacuated")
    {
        host.evacuations.apply_order(hall_a, 7);
        host.evacuations.apply_order(hall_b, 8);
        THEN("the host stays ready and rejects requests at once, since no other host could serve them")
        {
            CHECK(find_unreachable().empty());
        }
    }
}
