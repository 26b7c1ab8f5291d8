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

/// Many hosts in virtual time, as far as repeats go: each has its own retry budget and its own view of the others, from
/// the platform's table of hosts at its start and from what hosts tell each other, which comes late and not across
/// cuts. Callers' requests come to the hosts that live; those that fail are repeated as often as budgets grant it.
class ModelFleet {
public:
    struct Shape {
        u32 domains { 3 };
        u32 hosts { 66 };
        Serving::RetryBudget::Limits limits { 0.2, 172, 10s, 8 };
        /// Of all callers together.
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

    /// A further host, in the domain that comes next.
    void add_host()
    {
        auto const number = this->hosts.size();
        Machine host;
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        // Callers are spread by a hash of theirs, so that some hosts have several times what others have.
        host.weight = std::uniform_real_distribution(0.2, 2.0)(this->random);
        this->hosts.push_back(std::move(host));
        this->start(this->hosts.back());
    }

    /// A share of the hosts ends and starts again; they remember nothing.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (this->chance(share))
                this->start(host);
        }
    }

    /// Nothing passes between this domain and the others.
    void partition_domain(u32 number)
    {
        this->cut = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
    }
    /// Nothing passes between any hosts, nor to the platform.
    void isolate_all() { this->all_are_cut = true; }
    void heal()
    {
        this->cut.reset();
        this->all_are_cut = false;
    }
    /// Hosts that start while the platform is away know nobody but those that tell them something.
    void set_platform_unavailable(bool is_away) { this->platform_is_away = is_away; }
    /// How many times as many requests come as usual.
    void set_load(double factor) { this->load = factor; }
    /// Which share of dispatches fails.
    void set_failure_rate(double share) { this->failing = share; }

    void run(Duration span)
    {
        auto const end = this->now + span;
        while (this->now < end) {
            this->now += step;
            this->talk();
            this->serve();
        }
    }

    /// The window that exceeds by most what all hosts may repeat.
    [[nodiscard]] Account::RepeatWindow worst_window() const
    {
        auto const& limits = this->shape.limits;
        Account::RepeatBound const bound { limits.ratio, limits.allowance,
            static_cast<u64>(AK::to_milliseconds(limits.window)) };
        return Account::worst_window(this->requests, this->repeats, bound).value_or(Account::RepeatWindow {});
    }
    [[nodiscard]] size_t repeat_count() const { return this->repeats.size(); }
    [[nodiscard]] size_t wanted_repeat_count() const { return this->wanted; }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration talk_period = 500ms;
    /// From a process's start until it has read the platform's table of hosts.
    static constexpr Duration directory_delay = 200ms;
    /// How long what hosts tell each other may be on its way, at most.
    static constexpr Duration longest_delay = 400ms;
    /// Further backend servers that a request is sent to when one after another refuses it.
    static constexpr u32 most_repeats = 3;

    struct Word {
        Instant comes_at;
        Address from;
        Serving::Reachability::HostStatus said;
    };
    struct Machine {
        Address address;
        FailureDomainId domain;
        double weight { 1 };
        std::optional<Serving::RetryBudget> budget;
        std::optional<Serving::Reachability> reach;
        std::optional<Instant> reads_directory_at;
        Instant next_talk {};
        std::vector<Word> words;
    };

    bool chance(double probability) { return std::bernoulli_distribution(std::min(1.0, probability))(this->random); }
    Duration any_time_up_to(Duration most)
    {
        return Duration(std::uniform_int_distribution<i64>(1, most.count())(this->random));
    }

    void start(Machine& host)
    {
        host.budget.emplace(this->shape.limits);
        host.reach.emplace(host.domain);
        host.words.clear();
        host.reads_directory_at = this->now + directory_delay;
        host.next_talk = this->now + this->any_time_up_to(talk_period);
    }

    [[nodiscard]] bool hear_each_other(Machine const& one, Machine const& other) const
    {
        bool const are_parted = this->cut && (one.domain == *this->cut) != (other.domain == *this->cut);
        return !this->all_are_cut && !are_parted && one.address != other.address;
    }

    void read_directory(Machine& host)
    {
        if (!host.reads_directory_at || this->now < *host.reads_directory_at)
            return;
        if (this->platform_is_away || this->all_are_cut) {
            host.reads_directory_at = this->now + 1s;
            return;
        }
        host.reads_directory_at.reset();
        std::vector<Serving::KnownHost> rows;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                rows.push_back({ other.address, other.domain });
        }
        host.reach->update_known_hosts(rows, this->now);
    }

    void talk()
    {
        for (auto& host : this->hosts) {
            this->read_directory(host);
            for (auto const& word : host.words) {
                if (word.comes_at <= this->now)
                    host.reach->record_message(word.from, word.said, this->now);
            }
            std::erase_if(host.words, [&](Word const& word) { return word.comes_at <= this->now; });
            if (this->now >= host.next_talk)
                this->tell(host);
            Serving::share_allowance(*host.budget, *host.reach, this->now);
        }
    }

    /// Hosts of one domain hear each other; others hear only those that speak for it.
    void tell(Machine& host)
    {
        host.next_talk = this->now + talk_period;
        auto const said = host.reach->own_status(talk_period, this->now);
        bool const speaks = host.reach->is_representative(host.address, this->now);
        for (auto& other : this->hosts) {
            if (hear_each_other(host, other) && (speaks || other.domain == host.domain))
                other.words.push_back({ this->now + this->any_time_up_to(longest_delay), host.address, said });
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
            this->take_request(*std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(choose(this->random))));
    }

    void take_request(Machine& host)
    {
        auto const milliseconds = static_cast<u64>(AK::to_milliseconds(this->now.time_since_epoch()));
        this->requests.push_back(milliseconds);
        host.budget->record_request(service, this->now);
        for (u32 i = 0; i < most_repeats && this->chance(this->failing); ++i) {
            ++this->wanted;
            if (!host.budget->take(service, this->now).is_granted)
                return;
            this->repeats.push_back(milliseconds);
        }
    }

    inline static ServiceName const service { "models" };

    Shape shape;
    std::mt19937 random;
    std::list<Machine> hosts;
    Instant now { 100s };
    std::optional<FailureDomainId> cut;
    bool all_are_cut { false };
    bool platform_is_away { false };
    double load { 1 };
    double failing { 0 };
    std::vector<u64> requests;
    std::vector<u64> repeats;
    size_t wanted { 0 };
};

}
