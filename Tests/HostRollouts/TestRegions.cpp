/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

std::string route(std::string const& prefix, std::string const& kind, std::string const& service)
{
    return R"(,{"name":"local)" + prefix + R"(","host":"tolls.example","path_prefix":")" + prefix + R"(","kind":")"
        + kind + R"(","timeout_ms":4000,"goal_ms":300,"priority":1,"service":")" + service
        + R"(","max_attempts":2,"public":false,"allowed_regions":["sofia"]})";
}

/// A host in the region sofia, and servers there and in varna.
class TwoRegions {
public:
    TwoRegions()
        : hosts({ "hall-a" }, [](Serving::HostSettings& settings) {
            settings.regions = { { FailureDomainId("hall-a"), RegionId("sofia") },
                { FailureDomainId("hall-b"), RegionId("varna") } };
        })
    {
        this->hosts.platform.put_configuration(
            9, route("/local-call/", "safe", "lanes") + route("/local-draft/", "streaming", "models"));
    }

    PlatformRunner& add(std::string const& id, std::string const& service, std::string const& domain)
    {
        return this->hosts.platform.add_runner(id, service, domain);
    }
    std::shared_ptr<Call> call(std::string const& attempt)
    {
        return this->hosts.finished_call(0, HostFixture::request("/local-call/1", attempt));
    }
    std::shared_ptr<Call> generation(std::string const& attempt)
    {
        auto request = HostFixture::generation(attempt);
        request.target("/local-draft/1");
        return this->hosts.call(0, std::move(request));
    }

    HostGroup hosts;
};

}

SCENARIO("a request that is confined to some regions is served there only")
{
    TwoRegions regions;
    GIVEN("servers in the allowed region and in another one")
    {
        auto& near = regions.add("near", "lanes", "hall-a");
        auto& far = regions.add("far", "lanes", "hall-b");
        regions.hosts.start();
        // Further tries need a budget, which requests earn.
        for (int i = 0; i < 10; ++i)
            CHECK(regions.call("c-" + std::to_string(i))->status == 200);
        CHECK(far.received().empty());
        WHEN("the near one refuses calls")
        {
            near.add_fault(PlatformRunner::Fault::NotRun);
            auto const call = regions.call("a-1");
            THEN("no further try leaves the region, and the caller is told that the call has not run")
            {
                CHECK(call->status == 503);
                CHECK(call->headers.contains("Retry-After"));
                CHECK(far.received().empty());
            }
        }
        WHEN("the near one fails")
        {
            near.add_fault(PlatformRunner::Fault::LoseResponse);
            CHECK(regions.call("a-1")->status == 502);
            CHECK(far.received().empty());
        }
        WHEN("calls come that are not confined")
        {
            near.add_fault(PlatformRunner::Fault::NotRun);
            far.add_fault(PlatformRunner::Fault::NotRun);
            auto const call = regions.hosts.finished_call(0, HostFixture::request("/tariff/1", "b-1"));
            THEN("a further try may go to any server")
            {
                CHECK(call->status == 503);
                CHECK(far.received().size() == 1);
            }
        }
    }
    GIVEN("servers outside only, one of them in a domain without a known region")
    {
        auto& far = regions.add("far", "lanes", "hall-b");
        auto& unknown = regions.add("unknown", "lanes", "hall-z");
        auto& far_engine = regions.add("far-engine", "models", "hall-b");
        regions.hosts.start();
        auto const begun = AK::BootClock::now();
        auto const call = regions.call("a-1");
        auto const generation = regions.generation("a-2");
        regions.hosts.platform.until([&] { return generation->is_over(); });
        THEN("calls and generations are refused at once, and nothing has been sent")
        {
            CHECK(call->status == 503);
            CHECK(generation->status == 503);
            CHECK(AK::BootClock::now() - begun < 2s);
            CHECK(far.received().empty());
            CHECK(unknown.received().empty());
            CHECK(far_engine.received().empty());
        }
    }
    GIVEN("a generation whose engine leaves")
    {
        auto& near = regions.add("near-engine", "models", "hall-a");
        regions.hosts.start();
        auto const generation = regions.generation("a-1");
        regions.hosts.platform.until([&] { return near.is_running("a-1"); });
        auto& far = regions.add("far-engine", "models", "hall-b");
        regions.hosts.run_for(200ms);
        regions.hosts.platform.drain(near);
        for (int i = 0; i < 12; ++i) {
            near.make_events();
            regions.hosts.run_for(50ms);
        }
        THEN("its memory is not copied out of the region")
        {
            CHECK(near.copy_orders().empty());
            CHECK(near.is_running("a-1"));
            CHECK(far.running_count() == 0);
        }
        AND_WHEN("an engine of the region takes it")
        {
            auto& other = regions.add("other-engine", "models", "hall-a");
            regions.hosts.run_for(200ms);
            for (int i = 0; i < 30 && !other.is_running("a-1"); ++i) {
                near.make_events();
                regions.hosts.run_for(50ms);
            }
            CHECK(other.is_running("a-1"));
            CHECK(far.running_count() == 0);
        }
    }
    GIVEN("a request that ends the servers that run it")
    {
        std::string const secret = "question of a-1";
        for (int i = 0; i < 4; ++i)
            regions.add("near-" + std::to_string(i), "lanes", "hall-a").set_fatal_body(secret);
        regions.hosts.start();
        for (int i = 0; i < 4; ++i)
            regions.hosts.finished_call(0, HostFixture::request("/local-call/1", "a-1"));
        regions.hosts.run_for(1500ms);
        THEN("neither the platform nor the log holds any of its content")
        {
            CHECK(regions.hosts.log_of(0).find(secret) == std::string::npos);
            for (auto const& [key, value] : regions.hosts.platform.store.rows("lilactiller_quarantine"))
                CHECK(value.find(secret) == std::string::npos);
        }
    }
}

SCENARIO("an organisation's regions confine its requests on every route")
{
    TwoRegions regions;
    auto& far = regions.add("far", "lanes", "hall-b");
    auto& near = regions.add("near", "lanes", "hall-a");
    regions.hosts.start();
    auto confine_to = [&](std::string const& list, u64 version) {
        regions.hosts.platform.put_configuration(version, route("/local-call/", "safe", "lanes"), list);
        regions.hosts.run_for(300ms);
    };
    WHEN("it is confined to the other region")
    {
        confine_to(R"(["varna"])", 11);
        CHECK(regions.hosts.finished_call(0, HostFixture::request("/tariff/1", "b-1"))->status == 200);
        CHECK(near.received().empty());
        THEN("a route that allows only this region serves it nowhere")
        {
            CHECK(regions.call("b-2")->status == 503);
            CHECK(near.received().empty());
            CHECK(far.received().size() == 1);
        }
    }
    WHEN("the list is empty or of another form")
    {
        confine_to(GENERATE(as<std::string>(), "[]", R"("sofia")"), 11);
        THEN("nothing serves it")
        {
            CHECK(regions.hosts.finished_call(0, HostFixture::request("/tariff/1", "b-1"))->status == 503);
            CHECK(near.received().empty());
            CHECK(far.received().empty());
        }
    }
}
