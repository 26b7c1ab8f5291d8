/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendList.h>
#include <Tests/Support/MovingClock.h>
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
    settings.failure_domain = FailureDomainId("hall-a");
    std::string log_text;
    Core::StructuredLog log([&](std::string_view text) {
        log_text += text;
        return text.size();
    });
    ServingContext context(loop, settings, log);
    Instant now { 100s };
    // In which order the operands of an expression read the clock depends on the compiler. A decision that reads it
    // once is the same if the clock steps backwards.
    auto const step = GENERATE(Test::clock_step, -Test::clock_step);
    context.clock = [&, step] { return now += step; };
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
        auto const ends_at = now + 1s;
        list.handle_leaving(EngineId("s2"), ServerStart(0), ends_at);
        auto backend = context.backends.find(EngineId("s2"));
        CHECK(backend->availability == Availability::Leaving);
        CHECK(backend->ends_at == ends_at);
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
    GIVEN("a platform that does not answer this host")
    {
        context.platform_contact.record_answer(now);
        now += 5s;
        context.platform_contact.record_failure(now);
        auto elsewhere = server("s3");
        elsewhere.failure_domain = FailureDomainId("hall-b");
        list.apply_entry(elsewhere);
        WHEN("a host of another domain, which it answers all the time, reports removals")
        {
            context.platform_contact.record_report(Address("10.0.0.1:1"), FailureDomainId("hall-b"), 1min, now);
            list.handle_removal(EngineId("s1"));
            list.handle_removal(EngineId("s3"));
            THEN("that of a server elsewhere holds at once") { CHECK_FALSE(context.backends.find(EngineId("s3"))); }
            THEN("that of a server which may have been cut off with this host is deferred")
            {
                CHECK(context.backends.find(EngineId("s1")));
                now += 2s;
                list.tick();
                CHECK_FALSE(context.backends.find(EngineId("s1")));
            }
        }
    }
    // Guards against servers that hosts of a failure domain go on using after it was cut off: their own path to the
    // platform was taken for the platform.
    GIVEN("a platform that has answered this host, then not for 5 s, and then again")
    {
        auto const outage = 5s;
        context.platform_contact.record_answer(now);
        context.platform_contact.record_failure(now + 100ms);
        context.platform_contact.record_failure(now + outage - 500ms);
        now += outage;
        context.platform_contact.record_answer(now);
        list.handle_platform_recovery(2s);
        auto elsewhere = server("s3");
        elsewhere.failure_domain = FailureDomainId("hall-b");
        list.apply_entry(elsewhere);
        list.handle_removal(EngineId("s1"));
        list.handle_removal(EngineId("s3"));
        auto report = [&](std::string const& domain, Duration contact) {
            context.platform_contact.record_report(Address("10.0.0.1:1"), FailureDomainId(domain), contact, now);
            list.tick();
        };
        auto knows = [&](std::string const& id) { return context.backends.find(EngineId(id)) != nullptr; };

        WHEN("no other host reports contact")
        {
            THEN("the platform may have been away: all removals wait for running servers to register again")
            {
                now += 1900ms;
                list.tick();
                CHECK(knows("s1"));
                CHECK(knows("s3"));
                now += 200ms;
                list.tick();
                CHECK_FALSE(knows("s1"));
                CHECK_FALSE(knows("s3"));
            }
        }
        WHEN("another host reports contact since the platform's return only")
        {
            report("hall-b", 0s);
            THEN("that proves nothing")
            {
                CHECK(knows("s1"));
                CHECK(knows("s3"));
            }
        }
        WHEN("a host of another domain reports contact all the time")
        {
            report("hall-b", 1min);
            THEN("servers elsewhere are gone at once") { CHECK_FALSE(knows("s3")); }
            THEN("servers that may have been cut off with this host have until 2 s after the last failure")
            {
                now += 1400ms;
                report("hall-b", 1min + 1400ms);
                CHECK(knows("s1"));
                now += 200ms;
                report("hall-b", 1min + 1600ms);
                CHECK_FALSE(knows("s1"));
            }
            // Guards against servers that hosts never let go of: a removal that needs no deferral was deferred, and
            // came due at a time that was always later than the present.
            THEN("later removals are not deferred, and the log announces no deferral without a reason")
            {
                list.apply_entry(elsewhere);
                list.handle_removal(EngineId("s3"));
                CHECK_FALSE(knows("s3"));
                log.flush();
                CHECK(log_text.find("reason=none") == std::string::npos);
            }
        }
        WHEN("a host of the same domain reports contact all the time")
        {
            report("hall-a", 1min);
            THEN("this host was cut off alone, and all removals hold at once")
            {
                CHECK_FALSE(knows("s1"));
                CHECK_FALSE(knows("s3"));
            }
        }
    }
}
