/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// The bound begins so long after the answer that asked for back-off.
constexpr Duration on_the_way = 500ms;
/// The users' bound on requests of one host in the rest of the time that was asked for.
constexpr size_t allowed_from_one_host = 2;

/// Backend servers that turn requests away, and what each host sent them in the time for which it was asked not to.
class RestingServers : public LoadedServers {
public:
    using LoadedServers::LoadedServers;

    /// From now on the server turns all away, and asks for `span` each time.
    void turn_away(size_t server, Duration span)
    {
        auto& runner = *this->runners[server];
        runner.turn_away(std::to_string(AK::to_seconds(span)));
        runner.on_turned_away = [this, server, span](PlatformRunner::Received const& received) {
            this->asked_for.push_back({ server, host_of(received.attempt), AK::BootClock::now(), span });
        };
    }
    void take_all_again(size_t server) { this->runners[server]->turn_away({}); }

    /// Over all answers that asked for back-off: the most requests that the host which got it sent there meanwhile.
    [[nodiscard]] size_t most_from_one_host()
    {
        size_t most = 0;
        for (auto const& asked : this->asked_for) {
            auto const& all = this->arrivals_at(asked.server);
            auto const sent = std::ranges::count_if(all, [&](Arrival const& arrival) {
                return arrival.host == asked.host && arrival.moment >= asked.at + on_the_way
                    && arrival.moment < asked.at + asked.span;
            });
            most = std::max(most, static_cast<size_t>(sent));
        }
        return most;
    }
    [[nodiscard]] size_t times_asked() const { return this->asked_for.size(); }
    [[nodiscard]] Instant asked_last_at() const { return this->asked_for.back().at; }

private:
    struct Asked {
        size_t server;
        size_t host;
        Instant at;
        Duration span;
    };
    std::vector<Asked> asked_for;
};

}

// A server of the users had asked hosts for three seconds without requests and got up to thirteen of one of them.
SCENARIO("a host sends a server nothing in the time for which that asked it for back-off")
{
    RestingServers servers(3, "lanes", "/lookup/7");
    servers.apply_load(500ms);
    GIVEN("a server that turns all away, and takes all again before its time is over")
    {
        for (auto* runner : servers.runners)
            runner->set_work_time(300ms);
        servers.apply_load(500ms);
        servers.turn_away(0, 3s);
        servers.apply_load(250ms);
        servers.take_all_again(0);
        servers.apply_load(2500ms);
        THEN("what ends well there meanwhile takes nothing from it")
        {
            REQUIRE(servers.times_asked() > 0);
            CHECK(servers.most_from_one_host() <= allowed_from_one_host);
        }
        AND_THEN("it gets work again afterwards")
        {
            REQUIRE(servers.times_asked() > 0);
            auto const over_at = servers.asked_last_at() + 3s;
            servers.apply_load(over_at - AK::BootClock::now() + 1s);
            CHECK(servers.arrivals_since(0, over_at) > 0);
        }
    }
    GIVEN("a server whose entry lapses and comes back meanwhile")
    {
        servers.turn_away(0, 3s);
        servers.apply_load(300ms);
        servers.take_all_again(0);
        auto const id = servers.runners[0]->id();
        servers.hosts.platform.store.remove("servers", id);
        servers.apply_load(500ms);
        servers.hosts.platform.store.put("servers", id, servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(2s);
        THEN("it is the same server, and its word holds")
        {
            REQUIRE(servers.times_asked() > 0);
            CHECK(servers.most_from_one_host() <= allowed_from_one_host);
        }
    }
    GIVEN("servers that all turn all away")
    {
        for (size_t i = 0; i < servers.runners.size(); ++i)
            servers.turn_away(i, 2s);
        servers.apply_load(500ms);
        servers.await_responses();
        servers.clear_calls();
        servers.apply_load(1s);
        servers.await_responses();
        THEN("none of them is sent anything, and who asks is refused at once, with a time at which one may take it")
        {
            CHECK(servers.most_from_one_host() <= allowed_from_one_host);
            CHECK(servers.count_with_status(503) == servers.call_count());
            for (auto const& call : servers.all_calls())
                CHECK(std::stod(call->headers["Retry-After"]) >= 0.2);
        }
    }
}

// A generation is lost with its engine unless it goes on where its copy is, and that server may want nothing just then.
SCENARIO("a generation whose engine has ended goes on at its copy once that server wants requests again")
{
    RestingServers servers(2, "models", "/drafts/2");
    auto& source = *servers.runners[0];
    auto& target = *servers.runners[1];
    auto run_on = [&](Duration span) {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            servers.hosts.run_for(20ms);
            for (auto* runner : servers.runners)
                runner->make_events();
        }
    };
    target.turn_away("0.1");
    servers.send(0);
    servers.send(0);
    run_on(200ms);
    target.turn_away({});
    REQUIRE(source.running_count() == 2);
    GIVEN("an engine that leaves, whose generations have been copied to another one")
    {
        source.set_leaves_in(2000);
        servers.hosts.platform.drain(source);
        run_on(400ms);
        REQUIRE_FALSE(source.copy_orders().empty());
        WHEN("that one asks for a pause, and the engine ends meanwhile")
        {
            servers.turn_away(1, 1s);
            servers.send(0);
            run_on(50ms);
            servers.take_all_again(1);
            REQUIRE(servers.times_asked() == 1);
            source.end();
            run_on(500ms);
            CHECK(target.running_count() == 0);
            run_on(900ms);
            THEN("they go on there after it, and callers miss nothing")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.most_from_one_host() == 0);
                CHECK_FALSE(servers.all_calls()[0]->is_over());
                CHECK_FALSE(servers.all_calls()[1]->is_over());
            }
        }
        WHEN("the engine ends, and that one turns away what goes on there")
        {
            servers.turn_away(1, 600ms);
            source.end();
            run_on(200ms);
            servers.take_all_again(1);
            REQUIRE(servers.times_asked() == 2);
            run_on(900ms);
            THEN("they go on there after the pause that it has asked for, and callers miss nothing")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.most_from_one_host() == 0);
                CHECK_FALSE(servers.all_calls()[0]->is_over());
                CHECK_FALSE(servers.all_calls()[1]->is_over());
            }
        }
        WHEN("that one asks for a pause that is over before the engine ends")
        {
            servers.turn_away(1, 600ms);
            servers.send(0);
            run_on(50ms);
            servers.take_all_again(1);
            run_on(2s);
            THEN("they are handed over after it")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.most_from_one_host() == 0);
            }
        }
    }
}

SCENARIO("a host places no generation on an engine in the time for which that asked it for back-off")
{
    RestingServers servers(3, "models", "/drafts/2");
    for (auto* runner : servers.runners)
        runner->planned_events = [](std::string const&) { return 2; };
    auto apply_load = [&](Duration span) {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            servers.apply_load(50ms);
            for (auto* runner : servers.runners)
                runner->make_events();
        }
    };
    apply_load(500ms);
    servers.turn_away(0, 3s);
    apply_load(300ms);
    servers.take_all_again(0);
    apply_load(2500ms);
    REQUIRE(servers.times_asked() > 0);
    CHECK(servers.most_from_one_host() <= allowed_from_one_host);
}
