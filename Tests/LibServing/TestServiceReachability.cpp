/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceReachability.h>
#include <catch2/catch.hpp>

using namespace Serving;

static BackendPointer add_server(
    BackendTable& table, std::string const& id, std::string const& service, std::string const& domain)
{
    BackendServer server;
    server.id = EngineId(id);
    server.service = ServiceName(service);
    server.address = Address("127.0.0.1:1000");
    server.failure_domain = FailureDomainId(domain);
    return table.update(server, Instant { 1s });
}

SCENARIO("a domain that has no server of a service is cut off from those that have")
{
    // Half of a domain's requests are lookups that only other domains can answer; each costs a caller the time of two
    // connections that do not come up, for as long as the cut lasts.
    Configuration configuration;
    configuration.services = { { ServiceName("lookups"), 64, {} }, { ServiceName("models"), 64, {} } };
    RoutingTable const routing(configuration);
    BackendTable table;
    Instant const now { 100s };
    add_server(table, "engine", "models", "hall-a");
    auto first = add_server(table, "lookup-1", "lookups", "hall-b");
    auto second = add_server(table, "lookup-2", "lookups", "hall-c");
    std::vector const silent { FailureDomainId("hall-b"), FailureDomainId("hall-c") };
    auto out_of_reach = [&](Instant when) { return unreachable_services(table, routing, silent, when); };

    CHECK(out_of_reach(now).empty());
    record_failure(*first, now, true);
    CHECK(out_of_reach(now).empty());
    record_failure(*second, now, true);
    CHECK(out_of_reach(now) == std::vector { ServiceName("lookups") });

    WHEN("hosts of the other domains are heard")
    {
        THEN("it is the servers that are down, and other hosts would do no better")
        {
            CHECK(unreachable_services(table, routing, {}, now).empty());
            CHECK(unreachable_services(table, routing, std::span(silent).first(1), now).empty());
        }
    }
    WHEN("a server answers again")
    {
        record_success(*second);
        CHECK(out_of_reach(now).empty());
    }
    WHEN("nothing has been tried for some seconds")
    {
        THEN("callers may test it again") { CHECK(out_of_reach(now + 6s).empty()); }
    }
    WHEN("a server answers with failures")
    {
        record_success(*first);
        record_failure(*first, now, false);
        CHECK(out_of_reach(now).empty());
    }
    WHEN("a server of the host's own domain comes")
    {
        add_server(table, "lookup-3", "lookups", "hall-a");
        CHECK(out_of_reach(now).empty());
    }
    WHEN("the service is not configured any more")
    {
        configuration.services.erase(configuration.services.begin());
        CHECK(unreachable_services(table, RoutingTable(configuration), silent, now).empty());
    }
}
