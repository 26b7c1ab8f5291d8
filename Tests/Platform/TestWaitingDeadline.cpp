/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>

using Test::HostFixture;

static constexpr int slots = 8;

/// A less urgent route, whose goal allows waits beyond the deadline that the test sets.
static std::string const patient_route
    = R"(,{"name":"essays","host":"tolls.example","path_prefix":"/essays/","kind":"streaming","timeout_ms":4000,)"
      R"("goal_ms":3000,"priority":2,"service":"models","max_attempts":1,"public":false})";

static Http::Request patient_generation(std::string const& attempt, std::string const& deadline)
{
    auto request = HostFixture::generation(attempt);
    request.target("/essays/1");
    request.set("Lilactiller-Deadline-Ms", deadline);
    return request;
}

SCENARIO("a generation waits while all slots of its service are taken")
{
    HostFixture fixture;
    auto& engine = fixture.add_runner("engine-1", "models");
    fixture.put_configuration(7, patient_route);
    fixture.start_host();
    fixture.until([&] { return fixture.is_ready(); });
    for (int i = 1; i <= slots; ++i) {
        auto call = fixture.call(HostFixture::generation("g" + std::to_string(i)));
        fixture.until([&] { return engine.is_running("g" + std::to_string(i)); });
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
    }

    SECTION("its deadline passes: it is refused as not run, and its caller is not asked to return")
    {
        auto call = fixture.call(patient_generation("late", "150"));
        fixture.until([&] { return fixture.log_has("generation_waits subject=late"); });
        fixture.until([&] { return call->is_over(); });
        CHECK(call->status == 503);
        CHECK(call->body.find("\"may_have_run\":false") != std::string::npos);
        CHECK_FALSE(call->headers.contains("Retry-After"));
        CHECK_FALSE(fixture.log_has("return_requested subject=late"));
        CHECK_FALSE(engine.is_running("late"));
    }

    SECTION("a slot becomes free: it runs")
    {
        auto call = fixture.call(patient_generation("patient", "3000"));
        fixture.until([&] { return fixture.log_has("generation_waits subject=patient"); });
        engine.finish_all();
        fixture.until([&] { return engine.is_running("patient"); });
        engine.make_events();
        fixture.until([&] { return call->event_count() == 1; });
    }

    SECTION("its caller disconnects: it does not run when a slot becomes free")
    {
        auto call = fixture.call(patient_generation("left", "3000"));
        fixture.until([&] { return fixture.log_has("generation_waits subject=left"); });
        call->connection->cancel();
        fixture.until([&] { return fixture.log_has("generation_waited subject=left"); });
        engine.finish_all();
        auto next = fixture.call(HostFixture::generation("next"));
        fixture.until([&] { return engine.is_running("next"); });
        CHECK_FALSE(engine.is_running("left"));
    }
}
