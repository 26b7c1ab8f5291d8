/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceContact.h>
#include <catch2/catch.hpp>

using namespace Serving;

// Guards against hosts that go on connecting to servers that none of their requests reaches.
SCENARIO("a host loses contact to the servers of a service")
{
    ServiceName const service("lookups");
    Instant const start { 100s };
    ServiceContact contact;
    auto fail = [&](std::string const& server, size_t servers) {
        contact.record_failure(service, { EngineId(server) }, servers, start);
    };

    GIVEN("a service of many servers")
    {
        fail("first", 9);
        fail("second", 9);
        fail("second", 9);
        CHECK_FALSE(contact.is_lost(service));
        WHEN("connections to a third one fail")
        {
            fail("third", 9);
            THEN("contact is lost, to this service only")
            {
                CHECK(contact.is_lost(service));
                CHECK(contact.lost_services() == std::vector { service });
                CHECK_FALSE(contact.is_lost(ServiceName("models")));
            }
            AND_WHEN("a server responds")
            {
                contact.record_contact(service, start + 2s);
                THEN("contact is regained, and both changes are reported once")
                {
                    CHECK_FALSE(contact.is_lost(service));
                    CHECK_FALSE(contact.has_lost_any());
                    auto const changes = contact.take_changes();
                    REQUIRE(changes.size() == 2);
                    CHECK(changes[0].is_lost);
                    CHECK(changes[0].failed_servers == 3);
                    CHECK_FALSE(changes[1].is_lost);
                    CHECK(changes[1].lasted == 2s);
                    CHECK(contact.take_changes().empty());
                }
            }
        }
        WHEN("a server responds between the failures")
        {
            contact.record_contact(service, start);
            fail("third", 9);
            THEN("contact is not lost") { CHECK_FALSE(contact.is_lost(service)); }
        }
    }
    GIVEN("a partition from the other failure domains")
    {
        for (auto const* server : { "first", "second", "third", "fourth" })
            contact.record_failure(service, { EngineId(server), false }, 9, start);
        THEN("contact is not lost before a server of the own domain fails")
        {
            CHECK_FALSE(contact.is_lost(service));
            fail("local", 9);
            CHECK(contact.is_lost(service));
        }
    }
    GIVEN("a service of one server")
    {
        fail("only", 1);
        THEN("one failure is conclusive") { CHECK(contact.is_lost(service)); }
    }
}
