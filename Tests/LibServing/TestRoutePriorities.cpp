/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RoutingTable.h>
#include <catch2/catch.hpp>

static Serving::Route generation_route(u32 priority, Duration goal)
{
    Serving::Route route;
    route.kind = Serving::CallKind::Generation;
    route.priority = priority;
    route.latency_goal = goal;
    route.services = { { ServiceName("models"), 1 } };
    return route;
}

static bool has_patient_less_urgent_routes(std::vector<Serving::Route> routes)
{
    Serving::Configuration configuration;
    configuration.routes = std::move(routes);
    return Serving::RoutingTable(configuration).has_patient_less_urgent_routes(ServiceName("models"));
}

SCENARIO("limits of a shortage are for services whose less urgent generations have the longer goals")
{
    SECTION("a less urgent route with the longer goal calls for limits")
    {
        CHECK(has_patient_less_urgent_routes({ generation_route(0, 1500ms), generation_route(2, 4s) }));
    }

    SECTION("one with the shorter goal is refused first by its goal")
    {
        CHECK_FALSE(has_patient_less_urgent_routes({ generation_route(0, 1800ms), generation_route(1, 1500ms) }));
    }

    SECTION("routes of the same priority are served in the order of arrival")
    {
        CHECK_FALSE(has_patient_less_urgent_routes({ generation_route(1, 1500ms), generation_route(1, 4s) }));
    }

    SECTION("calls to plain services don't count")
    {
        auto call = generation_route(5, 10s);
        call.kind = Serving::CallKind::Repeatable;
        CHECK_FALSE(has_patient_less_urgent_routes({ generation_route(0, 1500ms), call }));
    }
}
