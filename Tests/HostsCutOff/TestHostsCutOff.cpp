/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/HostsCutOff/CutOffHosts.h>
#include <array>
#include <catch2/catch.hpp>

using namespace Test;

namespace {

/// Time that hosts have to adapt to a partition.
constexpr Duration contact_time = 3s;

/// First attempts at a partitioned host are served at least two thirds as often as those at other hosts.
bool is_served_as_well(size_t served_by_partitioned, size_t served_by_other)
{
    return 3 * served_by_partitioned >= 2 * served_by_other;
}

void check_partitioned_hosts_serve(std::vector<size_t> const& partitioned, Partition kind)
{
    CutOffHosts group;
    CHECK(group.serve({ 0, 1, 2 }) == std::vector<size_t>(3, 2 * CutOffHosts::rounds));
    for (auto const host : partitioned)
        group.cut(host, kind);
    group.serve({ 0, 1, 2 });
    group.run_for(contact_time);
    auto const served = group.serve({ 0, 1, 2 });
    CHECK(served[2] == 2 * CutOffHosts::rounds);
    for (auto const host : partitioned) {
        INFO("host " << host << " served " << served[host]);
        CHECK(is_served_as_well(served[host], served[2]));
    }
}

}

// Guards against a host that refuses its callers while it is partitioned from all backend servers, although the other
// hosts reach them.
SCENARIO("a host that has lost the backend servers alone serves its callers through another host")
{
    GIVEN("a silent partition") { check_partitioned_hosts_serve({ 0 }, Partition::Silent); }
    GIVEN("connections that are reset") { check_partitioned_hosts_serve({ 0 }, Partition::Resets); }
    GIVEN("open connections that live on") { check_partitioned_hosts_serve({ 0 }, Partition::RefusesNew); }
}

// Guards against the same if no host of the failure domain reaches the servers.
SCENARIO("all hosts of a domain that have lost the backend servers serve their callers through another domain")
{
    GIVEN("a silent partition") { check_partitioned_hosts_serve({ 0, 1 }, Partition::Silent); }
    GIVEN("connections that are reset") { check_partitioned_hosts_serve({ 0, 1 }, Partition::Resets); }
    GIVEN("open connections that live on") { check_partitioned_hosts_serve({ 0, 1 }, Partition::RefusesNew); }
}

namespace {

/// A group whose first host has lost the backend servers and forwards its requests.
struct ForwardingGroup : CutOffHosts {
    ForwardingGroup()
    {
        this->serve({ 0 });
        this->cut(0, Partition::Resets);
        this->serve({ 0 });
        this->run_for(500ms);
    }
};

}

// Guards against forwarded requests that run twice, run without a key, or outlive their callers.
SCENARIO("a request that is forwarded is served like any other")
{
    ForwardingGroup group;
    auto const forwarded = group.forwarded_by(0);
    auto const runs = group.run_count();

    WHEN("callers send requests")
    {
        CHECK(group.serve({ 0 }) == std::vector<size_t> { 2 * CutOffHosts::rounds });
        THEN("each is forwarded once and runs once")
        {
            CHECK(group.forwarded_by(0) - forwarded == 2 * CutOffHosts::rounds);
            CHECK(group.run_count() - runs == 2 * CutOffHosts::rounds);
        }
    }
    WHEN("a request has no valid key")
    {
        auto const call = group.hosts.finished_call(0, HostFixture::request("/lookup/1", "stranger", "no-key"));
        THEN("it is refused without being forwarded")
        {
            CHECK(call->status == 401);
            CHECK(group.forwarded_by(0) == forwarded);
        }
    }
    WHEN("the caller of a generation leaves")
    {
        for (auto& runner : group.hosts.platform.runners)
            runner.planned_events = nullptr;
        auto const call = group.send_generation(0);
        group.hosts.platform.until([&] { return group.running_generations() == 1; });
        call->connection->cancel();
        group.run_for(300ms);
        THEN("the engine stops within half a second") { CHECK(group.running_generations() == 0); }
    }
    WHEN("the other hosts end while a generation streams")
    {
        for (auto& runner : group.hosts.platform.runners)
            runner.planned_events = nullptr;
        auto const call = group.send_generation(0);
        group.hosts.platform.until([&] {
            group.run_for(20ms);
            return call->event_count() > 0;
        });
        group.hosts.replace(1);
        group.hosts.replace(2);
        group.hosts.platform.until([&] { return call->is_over(); });
        THEN("the stream doesn't look complete") { CHECK(call->end != Http::ExchangeEnd::Complete); }
    }
    WHEN("the partition ends")
    {
        group.heal(0);
        group.run_for(800ms);
        auto const before = group.forwarded_by(0);
        CHECK(group.serve({ 0 }) == std::vector<size_t> { 2 * CutOffHosts::rounds });
        THEN("the host serves its callers itself again") { CHECK(group.forwarded_by(0) == before); }
    }
}

// Guards against requests that pass from host to host while none of them reaches the servers.
SCENARIO("all hosts have lost the backend servers")
{
    CutOffHosts group;
    group.serve({ 0, 1, 2 });
    for (auto const host : { 0U, 1U, 2U })
        group.cut(host, Partition::Resets);
    group.serve({ 0, 1, 2 });
    group.run_for(contact_time);
    std::array<size_t, 3> forwarded {};
    for (size_t host = 0; host < forwarded.size(); ++host)
        forwarded[host] = group.forwarded_by(host);
    auto const call = group.hosts.finished_call(0, HostFixture::request("/lookup/1", "unserved"));
    CHECK(call->status == 503);
    for (size_t host = 0; host < forwarded.size(); ++host)
        CHECK(group.forwarded_by(host) == forwarded[host]);
}

// Guards against hosts that avoid backend servers, or doubt failure domains, because partitioned hosts report them.
SCENARIO("hosts that have lost the backend servers make no other host avoid these")
{
    CutOffHosts group({ "hall-a", "hall-a", "hall-a" });
    group.serve({ 0, 1, 2 });
    for (auto const host : { 0U, 1U })
        group.cut(host, Partition::Silent);
    group.serve({ 0, 1, 2 });
    group.run_for(contact_time);
    auto const before = group.hosts.log_of(2).size();
    for (int i = 0; i < 3; ++i) {
        CHECK(group.serve({ 0, 1, 2 })[2] == 2 * CutOffHosts::rounds);
        group.run_for(500ms);
    }
    auto const log = group.hosts.log_of(2).substr(before);
    CHECK(log.find("other hosts cannot connect to it") == std::string::npos);
    CHECK(log.find("failure_domain_doubtful") == std::string::npos);
}

// Guards against requests that are blamed for the termination of servers that have not terminated: a partition that
// resets connections and refuses new ones looks like a crash of each single server.
SCENARIO("a partition is not taken for the termination of servers")
{
    CutOffHosts group;
    for (auto& runner : group.hosts.platform.runners)
        runner.planned_events = nullptr;
    std::vector<std::shared_ptr<Call>> calls;
    for (int i = 0; i < 4; ++i)
        calls.push_back(group.send_generation(0));
    group.hosts.platform.until([&] { return group.running_generations() == calls.size(); });
    auto const all_over = [&] { return std::ranges::all_of(calls, [](auto const& call) { return call->is_over(); }); };

    WHEN("all connections of the host are reset and new ones refused")
    {
        group.cut(0, Partition::Resets);
        group.hosts.platform.until(all_over);
        group.run_for(1s);
        THEN("no server counts as terminated")
        {
            auto const log = group.hosts.log_of(0);
            CHECK(log.find("E2312 ") != std::string::npos);
            CHECK(log.find("process=ended") == std::string::npos);
        }
    }
    WHEN("the engines terminate")
    {
        group.terminate_busy_engines();
        group.hosts.platform.until(all_over);
        group.run_for(1s);
        THEN("they count as terminated") { CHECK(group.hosts.log_of(0).find("process=ended") != std::string::npos); }
    }
}
