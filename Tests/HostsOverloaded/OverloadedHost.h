/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Hosts/HostGroup.h>
#include <Tests/Soak/FaultProxy.h>
#include <algorithm>
#include <list>

namespace Test {

/// A host with a narrow link, which it uses for its callers and for the backend servers.
class OverloadedHost {
public:
    OverloadedHost()
        : hosts({ "hall-a" },
            [](Serving::HostSettings& settings) { settings.link_megabits_per_second = link_megabits_per_second; })
        , callers(this->hosts.platform.loop, free_endpoint(), this->hosts.callers_endpoint(0))
    {
        for (auto const* service : { "lanes", "models" }) {
            auto& runner = this->hosts.platform.add_runner(service + std::string("-1"), service, "hall-a");
            runner.planned_events = [](std::string const&) { return events_per_stream; };
            auto& link = this->servers.emplace_back(
                this->hosts.platform.loop, free_endpoint(), *Http::parse_endpoint(runner.address()));
            this->hosts.forward_server(0, runner.address(), link.endpoint());
        }
        this->hosts.start();
    }

    /// From now on, all bytes to and from the host pass its link.
    void narrow_link()
    {
        auto const received = std::make_shared<Soak::SharedLink>(link_bytes_per_second);
        auto const sent = std::make_shared<Soak::SharedLink>(link_bytes_per_second);
        this->callers.set_link(Soak::FaultProxy::Direction::ToTarget, received);
        this->callers.set_link(Soak::FaultProxy::Direction::FromTarget, sent);
        for (auto& server : this->servers) {
            server.set_link(Soak::FaultProxy::Direction::ToTarget, sent);
            server.set_link(Soak::FaultProxy::Direction::FromTarget, received);
        }
    }

    /// Sends a lookup on a new connection. Its caller needs the response within 600 ms.
    std::shared_ptr<Call> send_lookup()
    {
        auto request = HostFixture::request("/lookup/1", this->next_attempt());
        request.set("Lilactiller-Deadline-Ms", "600");
        return this->hosts.platform.send(std::move(request), this->callers.endpoint());
    }
    /// Sends a generation with a long stream on a new connection.
    std::shared_ptr<Call> send_generation()
    {
        // The id is part of each event, which gets the size of some tokens by it.
        constexpr size_t id_length = 160;
        auto id = this->next_attempt();
        id.resize(id_length, 'x');
        return this->hosts.platform.send(HostFixture::generation(id), this->callers.endpoint());
    }

    /// Runs everything for this time; the engine makes events meanwhile.
    void run_for(Duration span)
    {
        constexpr Duration event_period = 10ms;
        for (auto const end = AK::BootClock::now() + span; AK::BootClock::now() < end;) {
            this->hosts.run_for(event_period);
            for (auto& runner : this->hosts.platform.runners)
                runner.make_events();
        }
    }
    void run_until_over(std::vector<std::shared_ptr<Call>> const& calls)
    {
        while (!std::ranges::all_of(calls, [](auto const& call) { return call->is_over(); }))
            this->run_for(50ms);
    }

    [[nodiscard]] static bool is_served(std::shared_ptr<Call> const& call)
    {
        return call->status == 200 && call->end == Http::ExchangeEnd::Complete;
    }
    /// Number of requests that the host has read.
    [[nodiscard]] size_t read_count()
    {
        auto const log = this->hosts.log_of(0);
        size_t count = 0;
        for (size_t at = log.find("E2001 "); at != std::string::npos; at = log.find("E2001 ", at + 1))
            ++count;
        return count;
    }

    /// Bandwidth for two streams beside some calls.
    static constexpr double link_megabits_per_second = 0.8;
    static constexpr double link_bytes_per_second = link_megabits_per_second * 1e6 / 8;
    static constexpr u64 events_per_stream = 250;

    HostGroup hosts;

private:
    std::string next_attempt() { return "attempt-" + std::to_string(++this->attempts); }

    Soak::FaultProxy callers;
    std::list<Soak::FaultProxy> servers;
    u32 attempts { 0 };
};

}
