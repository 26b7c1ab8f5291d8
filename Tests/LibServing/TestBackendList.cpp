/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendList.h>
#include <catch2/catch.hpp>

using namespace Serving;

static BackendServer server(std::string const& id, bool is_leaving = false)
{
    BackendServer made;
    made.id = EngineId(id);
    made.service = ServiceName("models");
    made.address = Address("127.0.0.1:1000");
    made.failure_domain = FailureDomainId("hall-a");
    made.is_leaving = is_leaving;
    return made;
}

SCENARIO("the table of backend servers follows the platform's list")
{
    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log([](std::string_view text) { return text.size(); });
    ServingContext context(loop, settings, log);
    Instant now { 100s };
    context.clock = [&] { return now; };
    std::vector<std::string> left;
    BackendList list(context,
        { [](BackendPointer const&) {},
            [&](BackendPointer const& backend) { left.push_back(backend->server.id.value()); } });
    list.apply_list({ server("s1"), server("s2") });
    REQUIRE(context.backends.all().size() == 2);

    WHEN("an entry is removed while the platform is available")
    {
        list.handle_removal(EngineId("s1"));
        CHECK_FALSE(context.backends.find(EngineId("s1")));
        CHECK(left == std::vector<std::string> { "s1" });
    }
    WHEN("an entry is removed just after the platform has recovered")
    {
        list.handle_platform_recovery(2s);
        list.handle_removal(EngineId("s1"));
        THEN("the removal is deferred for as long as a running server may need to register again")
        {
            now += 1900ms;
            list.tick();
            CHECK(context.backends.find(EngineId("s1")));
            AND_WHEN("the server registers again")
            {
                list.apply_entry(server("s1"));
                now += 10s;
                list.tick();
                CHECK(context.backends.find(EngineId("s1")));
            }
            AND_WHEN("the server does not register again")
            {
                now += 200ms;
                list.tick();
                CHECK_FALSE(context.backends.find(EngineId("s1")));
            }
        }
    }
    WHEN("another host reports that a server is leaving")
    {
        list.handle_leaving(EngineId("s2"), ServerStart(0), now + 1s);
        auto backend = context.backends.find(EngineId("s2"));
        CHECK(backend->availability == Availability::Leaving);
        CHECK(backend->ends_at == now + 1s);
        THEN("a later entry of the platform has no further effect")
        {
            list.apply_entry(server("s2", true));
            CHECK(left == std::vector<std::string> { "s2" });
        }
    }
    WHEN("the list is read again and a server is missing")
    {
        list.apply_list({ server("s2") });
        CHECK_FALSE(context.backends.find(EngineId("s1")));
        CHECK(context.backends.find(EngineId("s2")));
    }
}
