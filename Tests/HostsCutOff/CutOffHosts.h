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

/// What a host that is partitioned from all backend servers observes of its connections to them.
enum class Partition : u8 {
    /// Open connections hang, and new ones get no response.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Resets,
    /// Open connections live on, and new ones are refused.
    RefusesNew,
};

/// Several hosts, each with links of its own to all backend servers, so that single hosts can be partitioned from them.
/// The platform, the callers and the other hosts still reach every host.
class CutOffHosts {
public:
    explicit CutOffHosts(std::vector<std::string> const& domains = { "hall-a", "hall-a", "hall-b" })
        : hosts(domains)
    {
        for (auto const* domain : { "hall-a", "hall-b" }) {
            for (auto const* service : { "lanes", "models" }) {
                auto const id = std::string(service) + '-' + domain;
                auto& runner = this->hosts.platform.add_runner(id, service, domain);
                runner.planned_events = [](std::string const&) { return events_per_generation; };
                this->add_links(runner);
            }
        }
        this->hosts.start();
    }

    /// Partitions a host from all backend servers.
    void cut(size_t host, Partition kind)
    {
        for (auto& link : this->links_of[host])
            cut(link, kind);
    }
    /// Terminates the engines that run generations.
    void terminate_busy_engines()
    {
        size_t number = 0;
        for (auto& runner : this->hosts.platform.runners) {
            if (runner.running_count() > 0)
                this->terminate(runner, number);
            ++number;
        }
    }
    void heal(size_t host)
    {
        for (auto& link : this->links_of[host])
            link.heal();
    }

    std::shared_ptr<Call> send_lookup(size_t host)
    {
        return this->send(host, HostFixture::request("/lookup/1", this->next_attempt()));
    }
    std::shared_ptr<Call> send_generation(size_t host)
    {
        return this->send(host, HostFixture::generation(this->next_attempt()));
    }

    /// Runs everything for this time; the engines make events meanwhile.
    void run_for(Duration span)
    {
        constexpr Duration event_period = 10ms;
        for (auto const end = AK::BootClock::now() + span; AK::BootClock::now() < end;) {
            this->hosts.run_for(event_period);
            for (auto& runner : this->hosts.platform.runners)
                runner.make_events();
        }
    }

    /// Sends calls and generations to each of these hosts in turn. Returns the number that each has served.
    std::vector<size_t> serve(std::vector<size_t> const& numbers)
    {
        std::vector<std::vector<std::shared_ptr<Call>>> calls(numbers.size());
        for (size_t round = 0; round < rounds; ++round) {
            for (size_t i = 0; i < numbers.size(); ++i) {
                calls[i].push_back(this->send_lookup(numbers[i]));
                calls[i].push_back(this->send_generation(numbers[i]));
            }
            this->run_for(50ms);
        }
        auto const is_over = [](auto const& call) { return call->is_over(); };
        while (!std::ranges::all_of(calls, [&](auto const& of_host) { return std::ranges::all_of(of_host, is_over); }))
            this->run_for(50ms);
        std::vector<size_t> served;
        for (auto const& of_host : calls)
            served.push_back(static_cast<size_t>(std::ranges::count_if(of_host, is_served)));
        return served;
    }

    /// Whether the call got a whole response of a backend server.
    [[nodiscard]] static bool is_served(std::shared_ptr<Call> const& call)
    {
        return call->status == 200 && call->end == Http::ExchangeEnd::Complete;
    }

    /// Number of requests that all backend servers together have run.
    [[nodiscard]] size_t run_count() const
    {
        size_t count = 0;
        for (auto const& runner : this->hosts.platform.runners) {
            for (auto const& [attempt, runs] : runner.runs())
                count += runs;
        }
        return count;
    }
    [[nodiscard]] size_t running_generations() const
    {
        size_t count = 0;
        for (auto const& runner : this->hosts.platform.runners)
            count += runner.running_count();
        return count;
    }
    /// Number of requests that a host has forwarded.
    [[nodiscard]] size_t forwarded_by(size_t host)
    {
        auto const log = this->hosts.log_of(host);
        size_t count = 0;
        for (size_t at = log.find("E2410 "); at != std::string::npos; at = log.find("E2410 ", at + 1))
            ++count;
        return count;
    }

    static constexpr u64 events_per_generation = 4;
    static constexpr size_t rounds = 10;

    HostGroup hosts;

private:
    static void cut(Soak::FaultProxy& link, Partition kind)
    {
        if (kind == Partition::Silent) {
            link.hold_all();
            return link.ignore_connections();
        }
        link.refuse_connections();
        if (kind == Partition::Resets)
            link.reset_all();
    }

    void terminate(PlatformRunner& runner, size_t number)
    {
        for (auto& [host, links] : this->links_of) {
            auto& link = *std::next(links.begin(), static_cast<std::ptrdiff_t>(number));
            cut(link, Partition::Resets);
        }
        runner.terminate();
    }

    void add_links(PlatformRunner& runner)
    {
        auto const target = *Http::parse_endpoint(runner.address());
        for (size_t host = 0; host < this->hosts.size(); ++host) {
            auto& link = this->links_of[host].emplace_back(this->hosts.platform.loop, free_endpoint(), target);
            this->hosts.forward_server(host, runner.address(), link.endpoint());
        }
    }

    std::shared_ptr<Call> send(size_t host, Http::Request request)
    {
        return this->hosts.call(host, std::move(request));
    }
    std::string next_attempt() { return "attempt-" + std::to_string(++this->attempts); }

    std::map<size_t, std::list<Soak::FaultProxy>> links_of;
    u32 attempts { 0 };
};

}
