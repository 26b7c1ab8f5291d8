/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

/// Three hosts in two domains, and servers of two versions of a service.
class RolloutGroup {
public:
    explicit RolloutGroup(std::string service)
        : service(std::move(service))
        , hosts({ "hall-a", "hall-a", "hall-b" }, [](Serving::HostSettings& settings) {
            // A large trial share, so that the trial is short.
            settings.exposure = { 0.5, 50 };
        })
    {
        this->add("old-1", "v1");
        this->add("old-2", "v1");
        this->hosts.start();
    }

    PlatformRunner& add(std::string const& id, std::string const& version)
    {
        auto& runner = this->hosts.platform.add_runner(id, this->service);
        runner.set_version(version);
        this->hosts.platform.store.put("servers", id, runner.row(this->service, "hall-a"));
        this->runners[id] = &runner;
        return runner;
    }
    void roll_out(std::string const& version, int seconds)
    {
        this->hosts.platform.store.put("op", "rollout/" + this->service,
            R"({"service":")" + this->service + R"(","target_version":")" + version + R"(","over_s":)"
                + std::to_string(seconds) + "}");
    }
    [[nodiscard]] std::string status()
    {
        auto const rows = this->hosts.platform.store.rows("status");
        auto const found = rows.find("rollout/" + this->service);
        return found == rows.end() ? std::string() : found->second;
    }
    [[nodiscard]] bool is(std::string const& state) { return this->status().find(state) != std::string::npos; }

    /// Sends 20 requests a second to each host until `done`, for `span` at most.
    template<typename Done>
    void apply_load(Duration span, Done done)
    {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end && !done()) {
            for (size_t host = 0; host < this->hosts.size(); ++host) {
                auto const attempt = std::to_string(host) + "-attempt-" + std::to_string(++this->sent);
                this->calls.push_back(this->hosts.call(host,
                    this->service == "models" ? HostFixture::generation(attempt)
                                              : HostFixture::request("/lookup/7", attempt)));
            }
            for (auto const& [id, runner] : this->runners) {
                if (this->fails && id.starts_with("new"))
                    runner->add_fault(PlatformRunner::Fault::Fail);
                runner->make_events();
            }
            this->hosts.run_for(50ms);
        }
    }
    [[nodiscard]] size_t received_by(std::string const& id) { return this->runners.at(id)->received().size(); }

    std::string service;
    HostGroup hosts;
    std::map<std::string, PlatformRunner*> runners;
    std::vector<std::shared_ptr<Call>> calls;
    bool fails { false };

private:
    u32 sent { 0 };
};

}

SCENARIO("hosts move a service's calls to a new version")
{
    RolloutGroup group("lanes");
    group.add("new-1", "v2");
    group.roll_out("v2", 3);
    GIVEN("a version that is sound")
    {
        group.apply_load(1s, [] { return false; });
        THEN("it gets a part of the calls first, and all of them before the roll-out is completed")
        {
            CHECK(group.is("running"));
            CHECK(group.status().find("v2") != std::string::npos);
            CHECK(group.received_by("old-1") + group.received_by("old-2") > group.received_by("new-1"));
            group.apply_load(15s, [&] { return group.is("completed"); });
            REQUIRE(group.is("completed"));
            group.hosts.run_for(200ms);
            auto const before = group.received_by("old-1") + group.received_by("old-2");
            group.apply_load(300ms, [] { return false; });
            CHECK(group.received_by("old-1") + group.received_by("old-2") == before);
            for (auto const& call : group.calls)
                CHECK((!call->is_over() || call->status == 200));
        }
    }
    GIVEN("a version that fails")
    {
        group.fails = true;
        group.apply_load(15s, [&] { return group.is("rolled_back"); });
        REQUIRE(group.is("rolled_back"));
        group.hosts.run_for(300ms);
        THEN("it gets nothing more, also after all hosts have restarted")
        {
            auto const before = group.received_by("new-1");
            group.apply_load(300ms, [] { return false; });
            group.hosts.replace_all();
            group.apply_load(300ms, [] { return false; });
            CHECK(group.received_by("new-1") == before);
            CHECK(group.hosts.log_of(0).find("rollout_rolled_back") != std::string::npos);
            CHECK(group.hosts.log_of(0).find("failures") != std::string::npos);
        }
    }
}

SCENARIO("running generations leave the former version before a roll-out is completed")
{
    RolloutGroup group("models");
    group.add("new-1", "v2");
    group.add("new-2", "v2");
    for (auto const& [id, runner] : group.runners)
        runner->planned_events = [](std::string const&) { return 40; };
    group.roll_out("v2", 3);
    group.apply_load(20s, [&] { return group.is("completed"); });
    REQUIRE(group.is("completed"));
    CHECK(group.runners["old-1"]->running_count() == 0);
    CHECK(group.runners["old-2"]->running_count() == 0);
    for (auto const& call : group.calls)
        CHECK_FALSE(
            (call->has_begun() && call->status == 200 && call->end && *call->end != Http::ExchangeEnd::Complete));
}

SCENARIO("an order for the version that all servers run already stops no calls")
{
    RolloutGroup group("lanes");
    group.roll_out("v1", 3);
    group.apply_load(1s, [] { return false; });
    group.hosts.platform.until(
        [&] { return std::ranges::all_of(group.calls, [](auto const& call) { return call->is_over(); }); });
    for (auto const& call : group.calls)
        CHECK(call->status == 200);
}

SCENARIO("a version that never answers is rolled back")
{
    RolloutGroup group("lanes");
    auto& runner = group.add("new-1", "v2");
    for (int i = 0; i < 500; ++i)
        runner.add_fault(PlatformRunner::Fault::Hang);
    group.roll_out("v2", 6);
    group.apply_load(15s, [&] { return group.is("rolled_back"); });
    CHECK(group.is("rolled_back"));
}
