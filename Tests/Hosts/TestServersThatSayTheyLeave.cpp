/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// Servers of which some say in their answers that they leave, while the platform's list says nothing of it.
class LeavingServers : public LoadedServers {
public:
    using LoadedServers::LoadedServers;

    void say_it_leaves(size_t server)
    {
        this->runners[server]->say_it_leaves(true);
        this->said_from[server] = AK::BootClock::now();
    }

    /// Requests that a caller sent later than the drain time after the host had been answered so, and that reached it
    /// all the same.
    [[nodiscard]] size_t arrived_too_late(size_t server)
    {
        auto const drain_time = this->hosts.platform.drain_time;
        std::map<size_t, Instant> first_answers;
        size_t late = 0;
        for (auto const& arrival : this->arrivals_at(server)) {
            if (arrival.moment < this->said_from[server])
                continue;
            auto const first = first_answers.try_emplace(arrival.host, arrival.moment).first->second;
            if (arrival.sent_at > first + drain_time)
                ++late;
        }
        return late;
    }
    [[nodiscard]] bool was_said(size_t server) { return this->arrivals_since(server, this->said_from[server]) > 0; }

private:
    std::map<size_t, Instant> said_from;
};

}

// A server that said in all its answers that it leaves got work for as long as the platform's list had it.
SCENARIO("a host sends no new work to a server that has said in an answer that it leaves")
{
    LeavingServers servers(3, "lanes", "/lookup/7");
    servers.apply_load(500ms);
    GIVEN("a server that says so in answers to calls")
    {
        servers.say_it_leaves(0);
        servers.apply_load(2s);
        THEN("it gets none from the drain time on, and all callers are served by the others")
        {
            REQUIRE(servers.was_said(0));
            CHECK(servers.arrived_too_late(0) == 0);
            servers.await_responses();
            CHECK(servers.count_with_status(200) == servers.call_count());
            for (auto const& call : servers.all_calls())
                CHECK(call->headers.count("Server-Leaving") == 0);
        }
    }
    GIVEN("one that says so with the refusal of a call")
    {
        servers.say_it_leaves(0);
        servers.runners[0]->turn_away("0.1");
        servers.apply_load(300ms);
        servers.runners[0]->turn_away({});
        servers.apply_load(1500ms);
        THEN("it gets none either")
        {
            REQUIRE(servers.was_said(0));
            CHECK(servers.arrived_too_late(0) == 0);
        }
    }
    GIVEN("one that says so while the platform is away")
    {
        servers.hosts.platform.store.set_mode(PlatformStore::Mode::Silent);
        servers.say_it_leaves(0);
        servers.apply_load(2s);
        THEN("it gets none either")
        {
            REQUIRE(servers.was_said(0));
            CHECK(servers.arrived_too_late(0) == 0);
        }
    }
    GIVEN("one whose entry lapses and comes back as serving")
    {
        servers.say_it_leaves(0);
        servers.apply_load(300ms);
        auto const id = servers.runners[0]->id();
        servers.hosts.platform.store.remove("servers", id);
        servers.apply_load(300ms);
        servers.hosts.platform.store.put("servers", id, servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(1500ms);
        THEN("it is the same process, and leaves")
        {
            REQUIRE(servers.was_said(0));
            CHECK(servers.arrived_too_late(0) == 0);
        }
    }
    GIVEN("another process under its id, started later")
    {
        servers.say_it_leaves(0);
        servers.apply_load(300ms);
        servers.runners[0]->say_it_leaves(false);
        servers.runners[0]->set_start(1'790'000'500'000);
        servers.hosts.platform.store.put(
            "servers", servers.runners[0]->id(), servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(300ms);
        auto const listed_at = AK::BootClock::now();
        servers.apply_load(1s);
        THEN("that one serves") { CHECK(servers.arrivals_since(0, listed_at) > 0); }
    }
}

SCENARIO("a generation moves from an engine that has said in an answer that it leaves")
{
    LeavingServers servers(2, "models", "/drafts/2");
    auto run_on = [&](Duration span) {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            servers.hosts.run_for(50ms);
            for (auto* runner : servers.runners)
                runner->make_events();
        }
    };
    servers.say_it_leaves(0);
    for (int i = 0; i < 4; ++i)
        servers.send(0);
    run_on(1500ms);
    REQUIRE(servers.was_said(0));
    THEN("they go on elsewhere, nothing new comes, and callers see one stream")
    {
        CHECK(servers.runners[0]->running_count() == 0);
        CHECK(servers.runners[1]->running_count() == 4);
        servers.send(0);
        run_on(200ms);
        CHECK(servers.runners[0]->running_count() == 0);
        for (auto const& call : servers.all_calls())
            CHECK_FALSE(call->is_over());
    }
}
