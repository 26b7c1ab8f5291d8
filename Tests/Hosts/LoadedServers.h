/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Hosts/HostGroup.h>

namespace Test {

/// A few backend servers of one service under load from callers at three hosts.
class LoadedServers {
public:
    /// A request of a host that reached a server.
    struct Arrival {
        size_t host;
        Instant moment;
        /// When its caller sent it to the host.
        Instant sent_at;
    };

    /// `path`: a path on the route that callers use.
    LoadedServers(int count, std::string service, std::string path)
        : path(std::move(path))
    {
        for (int i = 0; i < count; ++i) {
            auto const id = service + '-' + std::to_string(i);
            auto const domain = domain_of(i);
            auto& runner = this->hosts.platform.add_runner(id, service, domain);
            runner.on_received = [this, i](PlatformRunner::Received const& received) {
                this->arrivals[i].push_back(
                    { host_of(received.attempt), AK::BootClock::now(), this->sent_at[received.attempt] });
            };
            this->runners.push_back(&runner);
        }
        this->hosts.start();
    }

    /// Sends 20 requests a second to each host.
    void apply_load(Duration span)
    {
        auto const end = AK::BootClock::now() + span;
        while (AK::BootClock::now() < end) {
            for (size_t host = 0; host < this->hosts.size(); ++host)
                this->send(host);
            this->hosts.run_for(50ms);
        }
    }
    void send(size_t host)
    {
        auto const attempt = std::to_string(host) + "-attempt-" + std::to_string(++this->sent);
        this->sent_at[attempt] = AK::BootClock::now();
        auto request = this->path.starts_with("/drafts/") ? HostFixture::generation(attempt)
                                                          : HostFixture::request(this->path, attempt);
        this->calls.push_back(this->hosts.call(host, std::move(request)));
    }

    [[nodiscard]] std::vector<Arrival> const& arrivals_at(size_t server) { return this->arrivals[server]; }
    [[nodiscard]] size_t arrivals_since(size_t server, Instant from)
    {
        return static_cast<size_t>(
            std::ranges::count_if(this->arrivals[server], [&](auto const& arrival) { return arrival.moment >= from; }));
    }
    /// Maximum number of requests that a server got in any window that ended after `from`.
    [[nodiscard]] size_t max_in_window(size_t server, Instant from, Duration window)
    {
        auto const& all = this->arrivals[server];
        size_t max = 0;
        size_t first = 0;
        for (size_t last = 0; last < all.size(); ++last) {
            while (all[last].moment - all[first].moment >= window)
                ++first;
            if (all[last].moment >= from)
                max = std::max(max, last - first + 1);
        }
        return max;
    }
    [[nodiscard]] size_t count_with_status(unsigned status) const
    {
        return static_cast<size_t>(
            std::ranges::count_if(this->calls, [&](auto const& call) { return call->status == status; }));
    }
    [[nodiscard]] size_t call_count() const { return this->calls.size(); }
    [[nodiscard]] std::vector<std::shared_ptr<Call>> const& all_calls() const { return this->calls; }
    void clear_calls() { this->calls.clear(); }
    void await_responses()
    {
        this->hosts.platform.until(
            [this] { return std::ranges::all_of(this->calls, [](auto const& call) { return call->is_over(); }); });
    }

    static std::string domain_of(int server) { return "hall-" + std::string(1, static_cast<char>('a' + server % 2)); }
    static size_t host_of(std::string const& attempt) { return std::stoul(attempt); }

    HostGroup hosts { { "hall-a", "hall-a", "hall-b" } };
    std::vector<PlatformRunner*> runners;

private:
    std::string path;
    std::map<size_t, std::vector<Arrival>> arrivals;
    std::vector<std::shared_ptr<Call>> calls;
    std::map<std::string, Instant> sent_at;
    u32 sent { 0 };
};

}
