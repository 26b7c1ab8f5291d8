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

SCENARIO("a domain without a server of a service is partitioned from the domains that have one")
{
    // Half of a domain's requests are lookups that only servers of other domains can handle. During the partition each
    // of them would cost its caller the time of two failed connection attempts.
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

    WHEN("hosts of the other domains are reachable")
    {
        THEN("the servers have failed, and other hosts could not reach them either")
        {
            CHECK(unreachable_services(table, routing, {}, now).empty());
            CHECK(unreachable_services(table, routing, std::span(silent).first(1), now).empty());
        }
    }
    WHEN("a server responds again")
    {
        record_success(*second);
        CHECK(out_of_reach(now).empty());
    }
    WHEN("there was no connection attempt for some seconds")
    {
        THEN("requests of callers may test the servers again") { CHECK(out_of_reach(now + 6s).empty()); }
    }
    WHEN("a server responds with failures")
    {
        record_success(*first);
        record_failure(*first, now, false);
        CHECK(out_of_reach(now).empty());
    }
    WHEN("a server of the host's own domain is added")
    {
        add_server(table, "lookup-3", "lookups", "hall-a");
        CHECK(out_of_reach(now).empty());
    }
    WHEN("the service is no longer configured")
    {
        configuration.services.erase(configuration.services.begin());
        CHECK(unreachable_services(table, RoutingTable(configuration), silent, now).empty());
    }
}
