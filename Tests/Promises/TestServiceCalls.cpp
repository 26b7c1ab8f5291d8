/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Support/TestFleet.h>
#include <catch2/catch.hpp>

using StandIns::PlatformFault;
using StandIns::ServiceFault;

static u64 executions(TestFleet const& fleet)
{
    u64 count = 0;
    for (auto const& service : fleet.services)
        count += service->execution_count();
    return count;
}

static CallResult charge(TestFleet const& fleet, std::string const& key = "", size_t gateway = 0)
{
    return fleet.caller("hanak-key").call_service(gateway, "POST", "/v1/services/till/charges", key, "{}");
}

static CallResult look_up(TestFleet const& fleet)
{
    return fleet.caller("hanak-key").call_service(0, "GET", "/v1/services/till/receipts/4711", "", "");
}

SCENARIO("a call that must not be repeated runs at most once")
{
    TestFleet fleet;
    WHEN("no fault occurs")
    {
        CHECK(charge(fleet).outcome == "completed");
        CHECK(executions(fleet) == 1);
    }
    WHEN("the response is lost after it ran")
    {
        for (auto& service : fleet.services)
            service->set_fault(ServiceFault::LoseResponse);
        auto result = charge(fleet);
        CHECK(result.outcome == "may_have_run");
        CHECK(result.status == 502);
        CHECK(executions(fleet) == 1);
    }
    WHEN("the connection ends before it ran, which the gateway cannot know")
    {
        for (auto& service : fleet.services)
            service->set_fault(ServiceFault::CloseBeforeRun);
        CHECK(charge(fleet).outcome == "may_have_run");
        CHECK(executions(fleet) == 0);
    }
    WHEN("a server rejects it")
    {
        fleet.services[0]->set_fault(ServiceFault::Reject);
        THEN("another one runs it, once")
        {
            CHECK(charge(fleet).outcome == "completed");
            CHECK(executions(fleet) == 1);
        }
    }
    WHEN("every server rejects it")
    {
        for (auto& service : fleet.services)
            service->set_fault(ServiceFault::Reject);
        auto result = charge(fleet);
        CHECK(result.outcome == "not_run");
        CHECK(executions(fleet) == 0);
    }
    WHEN("no server listens any more")
    {
        fleet.services.clear();
        CHECK(charge(fleet).outcome == "not_run");
    }
}

SCENARIO("a lookup that may be repeated is repeated")
{
    TestFleet fleet;
    fleet.services[0]->set_fault(ServiceFault::CloseBeforeRun);
    CHECK(look_up(fleet).outcome == "completed");
    CHECK(executions(fleet) == 1);
}

SCENARIO("an idempotency key runs once, through whichever gateway it is repeated")
{
    TestFleet fleet;
    CHECK(charge(fleet, "sale-1", 0).outcome == "completed");
    auto again = charge(fleet, "sale-1", 1);
    CHECK(again.status == 409);
    CHECK(executions(fleet) == 1);
    CHECK(charge(fleet, "sale-2", 1).outcome == "completed");

    WHEN("the platform's response to the claim is lost")
    {
        fleet.platform->set_fault(0, PlatformFault::LoseResponses, 3);
        auto result = charge(fleet, "sale-3");
        THEN("it runs once or is not run")
        {
            auto ran = executions(fleet) - 2;
            CHECK(ran <= 1);
            CHECK((result.outcome == "completed") == (ran == 1));
        }
    }
    WHEN("the platform is unavailable")
    {
        fleet.platform->set_fault(0, PlatformFault::Unavailable);
        auto keyed = charge(fleet, "sale-4");
        THEN("a call with a key is refused as not run, and other calls are served")
        {
            CHECK(keyed.outcome == "not_run");
            CHECK(keyed.status == 503);
            CHECK(charge(fleet).outcome == "completed");
            CHECK(look_up(fleet).outcome == "completed");
        }
        THEN("the same key can be used when it is back")
        {
            fleet.platform->set_fault(0, PlatformFault::None);
            CHECK(charge(fleet, "sale-4").outcome == "completed");
        }
    }
    WHEN("the call did not run")
    {
        for (auto& service : fleet.services)
            service->set_fault(ServiceFault::Reject);
        CHECK(charge(fleet, "sale-5").outcome == "not_run");
        for (auto& service : fleet.services)
            service->set_fault(ServiceFault::None);
        THEN("its key is released")
        {
            wait_until("the key to be free", [&] { return charge(fleet, "sale-5").outcome == "completed"; });
        }
    }
}
