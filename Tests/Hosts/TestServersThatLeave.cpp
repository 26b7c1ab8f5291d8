/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// Servers of which some announce in their responses that they leave, while the platform's list does not show it.
class ServersThatLeave : public LoadedServers {
public:
    using LoadedServers::LoadedServers;

    void announce_leaving(size_t server)
    {
        this->runners[server]->announce_leaving(true);
        this->announced_at[server] = AK::BootClock::now();
    }

    /// Number of requests that reached the server although their caller sent them more than the drain time after the
    /// host had got such a response.
    [[nodiscard]] size_t late_arrival_count(size_t server)
    {
        auto const drain_time = this->hosts.platform.drain_time;
        std::map<size_t, Instant> first_responses;
        size_t late = 0;
        for (auto const& arrival : this->arrivals_at(server)) {
            if (arrival.moment < this->announced_at[server])
                continue;
            auto const first = first_responses.try_emplace(arrival.host, arrival.moment).first->second;
            if (arrival.sent_at > first + drain_time)
                ++late;
        }
        return late;
    }
    [[nodiscard]] bool has_announced(size_t server)
    {
        return this->arrivals_since(server, this->announced_at[server]) > 0;
    }

private:
    std::map<size_t, Instant> announced_at;
};

}

// Guards against a leaving server that gets new work for as long as the platform lists it, although it announces its
// leaving in all its responses.
SCENARIO("a host sends no new work to a server that has said in an answer that it leaves")
{
    ServersThatLeave servers(3, "lanes", "/lookup/7");
    servers.apply_load(500ms);
    GIVEN("a server that announces it in responses to calls")
    {
        servers.announce_leaving(0);
        servers.apply_load(2s);
        THEN("it gets no new work after the drain time, and the others serve all callers")
        {
            REQUIRE(servers.has_announced(0));
            CHECK(servers.late_arrival_count(0) == 0);
            servers.await_responses();
            CHECK(servers.count_with_status(200) == servers.call_count());
            for (auto const& call : servers.all_calls())
                CHECK(call->headers.count("Server-Leaving") == 0);
        }
    }
    GIVEN("a server that announces it in a response that refuses a call")
    {
        servers.announce_leaving(0);
        servers.runners[0]->reject_requests("0.1");
        servers.apply_load(300ms);
        servers.runners[0]->reject_requests({});
        servers.apply_load(1500ms);
        THEN("it gets no new work after the drain time")
        {
            REQUIRE(servers.has_announced(0));
            CHECK(servers.late_arrival_count(0) == 0);
        }
    }
    GIVEN("a server that announces it while the platform is unavailable")
    {
        servers.hosts.platform.store.set_mode(PlatformStore::Mode::Silent);
        servers.announce_leaving(0);
        servers.apply_load(2s);
        THEN("it gets no new work after the drain time")
        {
            REQUIRE(servers.has_announced(0));
            CHECK(servers.late_arrival_count(0) == 0);
        }
    }
    GIVEN("a server whose entry expires and returns as serving")
    {
        servers.announce_leaving(0);
        servers.apply_load(300ms);
        auto const id = servers.runners[0]->id();
        servers.hosts.platform.store.remove("servers", id);
        servers.apply_load(300ms);
        servers.hosts.platform.store.put("servers", id, servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(1500ms);
        THEN("it is the same process and still leaving")
        {
            REQUIRE(servers.has_announced(0));
            CHECK(servers.late_arrival_count(0) == 0);
        }
    }
    GIVEN("a process that starts later under the id of a leaving one")
    {
        servers.announce_leaving(0);
        servers.apply_load(300ms);
        servers.runners[0]->announce_leaving(false);
        servers.runners[0]->set_start(1'790'000'500'000);
        servers.hosts.platform.store.put(
            "servers", servers.runners[0]->id(), servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(300ms);
        auto const listed_at = AK::BootClock::now();
        servers.apply_load(1s);
        THEN("the later process gets work") { CHECK(servers.arrivals_since(0, listed_at) > 0); }
    }
}

SCENARIO("a generation moves from an engine that has said in an answer that it leaves")
{
    ServersThatLeave servers(2, "models", "/drafts/2");
    auto run_with_events = [&](Duration span) {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            servers.hosts.run_for(50ms);
            for (auto* runner : servers.runners)
                runner->make_events();
        }
    };
    servers.announce_leaving(0);
    for (int i = 0; i < 4; ++i)
        servers.send(0);
    run_with_events(1500ms);
    REQUIRE(servers.has_announced(0));
    THEN("they resume on another engine, the leaving one gets no new ones, and callers see one stream")
    {
        CHECK(servers.runners[0]->running_count() == 0);
        CHECK(servers.runners[1]->running_count() == 4);
        servers.send(0);
        run_with_events(200ms);
        CHECK(servers.runners[0]->running_count() == 0);
        for (auto const& call : servers.all_calls())
            CHECK_FALSE(call->is_over());
    }
}
