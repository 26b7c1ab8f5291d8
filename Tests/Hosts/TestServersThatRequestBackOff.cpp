/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/LoadedServers.h>

using namespace Test;

namespace {

/// The bound applies from this time after the response that requested back-off.
constexpr Duration notice_delay = 500ms;
/// The users' bound on requests of one host during the rest of the requested back-off.
constexpr size_t allowed_from_one_host = 2;

/// Backend servers that reject requests, and the requests that each host sent them during the requested back-off.
class RejectingServers : public LoadedServers {
public:
    using LoadedServers::LoadedServers;

    /// From now on the server rejects all requests, each with a back-off of `span`.
    void reject_all(size_t server, Duration span)
    {
        auto& runner = *this->runners[server];
        runner.reject_requests(std::to_string(AK::to_seconds(span)));
        runner.on_rejected = [this, server, span](PlatformRunner::Received const& received) {
            this->back_offs.push_back({ server, host_of(received.attempt), AK::BootClock::now(), span });
        };
    }
    void accept_again(size_t server) { this->runners[server]->reject_requests({}); }

    /// Over all responses that requested back-off: the maximum number of requests that the receiving host sent to the
    /// server during the back-off.
    [[nodiscard]] size_t max_from_one_host()
    {
        size_t max = 0;
        for (auto const& back_off : this->back_offs) {
            auto const& all = this->arrivals_at(back_off.server);
            auto const sent = std::ranges::count_if(all, [&](Arrival const& arrival) {
                return arrival.host == back_off.host && arrival.moment >= back_off.at + notice_delay
                    && arrival.moment < back_off.at + back_off.span;
            });
            max = std::max(max, static_cast<size_t>(sent));
        }
        return max;
    }
    [[nodiscard]] size_t back_off_count() const { return this->back_offs.size(); }
    [[nodiscard]] Instant last_back_off_at() const { return this->back_offs.back().at; }

private:
    struct BackOff {
        size_t server;
        size_t host;
        Instant at;
        Duration span;
    };
    std::vector<BackOff> back_offs;
};

}

// Guards against hosts that ignore a requested back-off: a server had requested three seconds without requests and got
// up to thirteen from one host.
SCENARIO("a host sends a server nothing in the time for which that asked it for back-off")
{
    RejectingServers servers(3, "lanes", "/lookup/7");
    servers.apply_load(500ms);
    GIVEN("a server that rejects all requests, and accepts them again before its back-off is over")
    {
        for (auto* runner : servers.runners)
            runner->set_work_time(300ms);
        servers.apply_load(500ms);
        servers.reject_all(0, 3s);
        servers.apply_load(250ms);
        servers.accept_again(0);
        servers.apply_load(2500ms);
        THEN("calls that succeed there meanwhile do not shorten the back-off")
        {
            REQUIRE(servers.back_off_count() > 0);
            CHECK(servers.max_from_one_host() <= allowed_from_one_host);
        }
        AND_THEN("it gets work again afterwards")
        {
            REQUIRE(servers.back_off_count() > 0);
            auto const over_at = servers.last_back_off_at() + 3s;
            servers.apply_load(over_at - AK::BootClock::now() + 1s);
            CHECK(servers.arrivals_since(0, over_at) > 0);
        }
    }
    GIVEN("a server whose entry expires and returns meanwhile")
    {
        servers.reject_all(0, 3s);
        servers.apply_load(300ms);
        servers.accept_again(0);
        auto const id = servers.runners[0]->id();
        servers.hosts.platform.store.remove("servers", id);
        servers.apply_load(500ms);
        servers.hosts.platform.store.put("servers", id, servers.runners[0]->row("lanes", LoadedServers::domain_of(0)));
        servers.apply_load(2s);
        THEN("it is the same server, and its back-off still holds")
        {
            REQUIRE(servers.back_off_count() > 0);
            CHECK(servers.max_from_one_host() <= allowed_from_one_host);
        }
    }
    GIVEN("servers that all reject all requests")
    {
        for (size_t i = 0; i < servers.runners.size(); ++i)
            servers.reject_all(i, 2s);
        servers.apply_load(500ms);
        servers.await_responses();
        servers.clear_calls();
        servers.apply_load(1s);
        servers.await_responses();
        THEN("none of them gets a request, and calls are refused at once with a Retry-After time")
        {
            CHECK(servers.max_from_one_host() <= allowed_from_one_host);
            CHECK(servers.count_with_status(503) == servers.call_count());
            for (auto const& call : servers.all_calls())
                CHECK(std::stod(call->headers["Retry-After"]) >= 0.2);
        }
    }
}

// Guards against losing a generation whose engine terminates while the server that holds its copy is in back-off: the
// generation has to wait and then resume there.
SCENARIO("a generation whose engine has ended goes on at its copy once that server wants requests again")
{
    RejectingServers servers(2, "models", "/drafts/2");
    auto& source = *servers.runners[0];
    auto& target = *servers.runners[1];
    auto run_with_events = [&](Duration span) {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            servers.hosts.run_for(20ms);
            for (auto* runner : servers.runners)
                runner->make_events();
        }
    };
    target.reject_requests("0.1");
    servers.send(0);
    servers.send(0);
    run_with_events(200ms);
    target.reject_requests({});
    REQUIRE(source.running_count() == 2);
    GIVEN("an engine that leaves, with its generations copied to another one")
    {
        source.set_leaves_in(2000);
        servers.hosts.platform.drain(source);
        run_with_events(400ms);
        REQUIRE_FALSE(source.copy_orders().empty());
        WHEN("the other engine requests back-off, and the first one terminates meanwhile")
        {
            servers.reject_all(1, 1s);
            servers.send(0);
            run_with_events(50ms);
            servers.accept_again(1);
            REQUIRE(servers.back_off_count() == 1);
            source.terminate();
            run_with_events(500ms);
            CHECK(target.running_count() == 0);
            run_with_events(900ms);
            THEN("the generations resume there after the back-off, and callers lose no event")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.max_from_one_host() == 0);
                CHECK_FALSE(servers.all_calls()[0]->is_over());
                CHECK_FALSE(servers.all_calls()[1]->is_over());
            }
        }
        WHEN("the first engine terminates, and the other one rejects the resumed generations")
        {
            servers.reject_all(1, 600ms);
            source.terminate();
            run_with_events(200ms);
            servers.accept_again(1);
            REQUIRE(servers.back_off_count() == 2);
            run_with_events(900ms);
            THEN("they resume there after the requested back-off, and callers lose no event")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.max_from_one_host() == 0);
                CHECK_FALSE(servers.all_calls()[0]->is_over());
                CHECK_FALSE(servers.all_calls()[1]->is_over());
            }
        }
        WHEN("the other engine requests a back-off that is over before the first one terminates")
        {
            servers.reject_all(1, 600ms);
            servers.send(0);
            run_with_events(50ms);
            servers.accept_again(1);
            run_with_events(2s);
            THEN("the generations move after the back-off")
            {
                CHECK(target.running_count() == 2);
                CHECK(servers.max_from_one_host() == 0);
            }
        }
    }
}

SCENARIO("a host places no generation on an engine in the time for which that asked it for back-off")
{
    RejectingServers servers(3, "models", "/drafts/2");
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
    servers.reject_all(0, 3s);
    apply_load(300ms);
    servers.accept_again(0);
    apply_load(2500ms);
    REQUIRE(servers.back_off_count() > 0);
    CHECK(servers.max_from_one_host() <= allowed_from_one_host);
}
