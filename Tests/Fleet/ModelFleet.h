/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibAccount/RepeatAccount.h>
#include <LibServing/AllowanceShare.h>
#include <algorithm>
#include <list>
#include <random>

namespace Test {

/// Simulates how many hosts repeat requests, in virtual time. Each host has its own retry budget and its own view of
/// the others, from the platform's table of hosts at its start and from state messages, which arrive late and do not
/// cross partitions. A failed request is repeated as often as the host's budget grants.
class ModelFleet {
public:
    struct Shape {
        u32 domains { 3 };
        u32 hosts { 66 };
        Serving::RetryBudget::Limits limits { 0.2, 172, 10s, 8 };
        /// Total over all callers.
        double requests_per_second { 87 };
        u32 seed { 1 };
    };

    explicit ModelFleet(Shape shape)
        : shape(shape)
        , random(shape.seed)
    {
        for (u32 i = 0; i < shape.hosts; ++i)
            this->add_host();
    }

    /// Adds a host in the next domain, in turn.
    void add_host()
    {
        auto const number = this->hosts.size();
        SimulatedHost host;
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        // Callers are distributed by a hash, so that some hosts get several times the requests of others.
        host.weight = std::uniform_real_distribution(0.2, 2.0)(this->random);
        this->hosts.push_back(std::move(host));
        this->start(this->hosts.back());
    }

    /// Restarts a share of the hosts; they lose all state.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (this->chance(share))
                this->start(host);
        }
    }

    /// Drops all messages between this domain and the others.
    void partition_domain(u32 number)
    {
        this->isolated_domain = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
    }
    /// Drops all messages between hosts, and to the platform.
    void isolate_all() { this->all_are_isolated = true; }
    void heal()
    {
        this->isolated_domain.reset();
        this->all_are_isolated = false;
    }
    /// A host that starts while the platform is unavailable knows only the hosts that send it messages.
    void set_platform_unavailable(bool is_unavailable) { this->platform_is_unavailable = is_unavailable; }
    /// Sets the request rate as a multiple of the usual one.
    void set_load(double factor) { this->load = factor; }
    /// Sets the share of dispatches that fail.
    void set_failure_rate(double share) { this->failure_rate = share; }

    void run(Duration span)
    {
        auto const end = this->now + span;
        while (this->now < end) {
            this->now += step;
            this->exchange_states();
            this->serve();
        }
    }

    /// The window in which the repeats of all hosts exceed their bound by most.
    [[nodiscard]] Account::RepeatWindow worst_window() const
    {
        auto const& limits = this->shape.limits;
        Account::RepeatBound const bound { limits.ratio, limits.allowance,
            static_cast<u64>(AK::to_milliseconds(limits.window)) };
        return Account::worst_window(this->requests, this->repeats, bound).value_or(Account::RepeatWindow {});
    }
    [[nodiscard]] size_t repeat_count() const { return this->repeats.size(); }
    [[nodiscard]] size_t wanted_repeat_count() const { return this->wanted_repeats; }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration broadcast_period = 500ms;
    /// Time from a process's start until it has read the platform's table of hosts.
    static constexpr Duration directory_delay = 200ms;
    /// Maximum transit time of a state message.
    static constexpr Duration max_delay = 400ms;
    /// Maximum number of further backend servers to which a request is sent as one after another refuses it.
    static constexpr u32 max_repeats = 3;

    struct StateMessage {
        Instant arrives_at;
        Address from;
        Serving::Reachability::HostStatus status;
    };
    struct SimulatedHost {
        Address address;
        FailureDomainId domain;
        double weight { 1 };
        std::optional<Serving::RetryBudget> budget;
        std::optional<Serving::Reachability> reachability;
        std::optional<Instant> reads_directory_at;
        Instant next_broadcast {};
        std::vector<StateMessage> inbox;
    };

    bool chance(double probability) { return std::bernoulli_distribution(std::min(1.0, probability))(this->random); }
    Duration draw_up_to(Duration max)
    {
        return Duration(std::uniform_int_distribution<i64>(1, max.count())(this->random));
    }

    void start(SimulatedHost& host)
    {
        host.budget.emplace(this->shape.limits);
        host.reachability.emplace(host.domain);
        host.inbox.clear();
        host.reads_directory_at = this->now + directory_delay;
        host.next_broadcast = this->now + this->draw_up_to(broadcast_period);
    }

    [[nodiscard]] bool can_communicate(SimulatedHost const& one, SimulatedHost const& other) const
    {
        bool const are_partitioned = this->isolated_domain
            && (one.domain == *this->isolated_domain) != (other.domain == *this->isolated_domain);
        return !this->all_are_isolated && !are_partitioned && one.address != other.address;
    }

    void read_directory(SimulatedHost& host)
    {
        if (!host.reads_directory_at || this->now < *host.reads_directory_at)
            return;
        if (this->platform_is_unavailable || this->all_are_isolated) {
            host.reads_directory_at = this->now + 1s;
            return;
        }
        host.reads_directory_at.reset();
        std::vector<Serving::KnownHost> known_hosts;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                known_hosts.push_back({ other.address, other.domain });
        }
        host.reachability->update_known_hosts(known_hosts, this->now);
    }

    void exchange_states()
    {
        for (auto& host : this->hosts) {
            this->read_directory(host);
            for (auto const& message : host.inbox) {
                if (message.arrives_at <= this->now)
                    host.reachability->record_message(message.from, message.status, this->now);
            }
            std::erase_if(host.inbox, [&](StateMessage const& message) { return message.arrives_at <= this->now; });
            if (this->now >= host.next_broadcast)
                this->broadcast_state(host);
            Serving::share_allowance(*host.budget, *host.reachability, host.address, this->now);
        }
    }

    /// Hosts send to all hosts of their own domain; only representatives send to other domains.
    void broadcast_state(SimulatedHost& host)
    {
        host.next_broadcast = this->now + broadcast_period;
        auto const status = host.reachability->own_status(broadcast_period, this->now);
        bool const is_representative = host.reachability->is_representative(host.address, this->now);
        for (auto& other : this->hosts) {
            if (can_communicate(host, other) && (is_representative || other.domain == host.domain))
                other.inbox.push_back({ this->now + this->draw_up_to(max_delay), host.address, status });
        }
    }

    void serve()
    {
        std::vector<double> weights;
        for (auto const& host : this->hosts)
            weights.push_back(host.weight);
        std::discrete_distribution<size_t> choose(weights.begin(), weights.end());
        auto const expected = this->load * this->shape.requests_per_second * AK::to_seconds(step);
        auto const count = std::poisson_distribution<u32>(expected)(this->random);
        for (u32 i = 0; i < count; ++i)
            this->handle_request(*std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(choose(this->random))));
    }

    void handle_request(SimulatedHost& host)
    {
        auto const milliseconds = static_cast<u64>(AK::to_milliseconds(this->now.time_since_epoch()));
        this->requests.push_back(milliseconds);
        host.budget->record_request(service, this->now);
        for (u32 i = 0; i < max_repeats && this->chance(this->failure_rate); ++i) {
            ++this->wanted_repeats;
            if (!host.budget->take(service, this->now).is_granted)
                return;
            this->repeats.push_back(milliseconds);
        }
    }

    inline static ServiceName const service { "models" };

    Shape shape;
    std::mt19937 random;
    std::list<SimulatedHost> hosts;
    Instant now { 100s };
    std::optional<FailureDomainId> isolated_domain;
    bool all_are_isolated { false };
    bool platform_is_unavailable { false };
    double load { 1 };
    double failure_rate { 0 };
    std::vector<u64> requests;
    std::vector<u64> repeats;
    size_t wanted_repeats { 0 };
};

}
