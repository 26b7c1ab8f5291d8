/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Reach.h>
#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Serving {

/// Names the order in which the hosts of a domain are asked to read the platform.
static constexpr auto reading_duty = "platform";

static u64 rank(Address const& host, std::string_view subject)
{
    auto text = host.value() + '/';
    text += subject;
    return XXH3_64bits(text.data(), text.size());
}

void Reach::heard(Address const& host, Said const& said, Instant now) { this->hosts[host] = { said, now }; }

void Reach::heard(Address const& host, Instant now)
{
    auto known = this->hosts.find(host);
    if (known != this->hosts.end())
        known->second.heard_at = now;
}

void Reach::learn(Address const& host, FailureDomainId const& domain)
{
    this->hosts.try_emplace(host, Host { { domain }, {} });
}

bool Reach::is_near(Address const& host) const
{
    auto known = this->hosts.find(host);
    return known != this->hosts.end() && known->second.said.domain == this->own_domain;
}

bool Reach::is_heard(Address const& host, Instant now) const
{
    auto known = this->hosts.find(host);
    return known != this->hosts.end() && !is_silent(known->second, now);
}

std::vector<Address> Reach::able_readers(FailureDomainId const& domain, Instant now) const
{
    std::vector<Address> able;
    for (auto const& [address, host] : this->hosts) {
        if (host.said.domain == domain && !is_silent(host, now) && !host.said.platform_is_lost)
            able.push_back(address);
    }
    std::ranges::sort(able, std::ranges::greater {}, [](Address const& host) { return rank(host, reading_duty); });
    return able;
}

size_t Reach::able_readers_before(Address const& own_address, Instant now) const
{
    auto able = this->able_readers(this->own_domain, now);
    auto before = std::ranges::count_if(
        able, [&](Address const& host) { return rank(host, reading_duty) > rank(own_address, reading_duty); });
    return static_cast<size_t>(before);
}

bool Reach::is_first_reader(Address const& own_address, Instant now) const
{
    return this->able_readers_before(own_address, now) == 0;
}

bool Reach::reads_platform(Address const& own_address, Instant now) const
{
    // A host that the platform does not answer goes on asking, to hear when it is back.
    if (this->platform_lost)
        return true;
    bool const has_other_domains = std::ranges::any_of(this->hosts, [&](auto const& entry) {
        return entry.second.said.domain != this->own_domain && !is_silent(entry.second, now);
    });
    bool const needs_one = has_other_domains && this->able_readers(this->own_domain, now).size() + 1 < large_domain;
    return this->able_readers_before(own_address, now) < (needs_one ? 1 : readers_of_large_domain);
}

std::vector<Address> Reach::readers_elsewhere(Instant now) const
{
    std::set<FailureDomainId> domains;
    for (auto const& [address, host] : this->hosts) {
        if (host.said.domain != this->own_domain)
            domains.insert(host.said.domain);
    }
    std::vector<Address> readers;
    for (auto const& domain : domains) {
        auto able = this->able_readers(domain, now);
        if (!able.empty())
            readers.push_back(able.front());
    }
    return readers;
}

bool Reach::is_cut_off(Instant now) const
{
    if (this->platform_lost)
        return true;
    bool const knows_hosts
        = std::ranges::any_of(this->hosts, [&](auto const& entry) { return !is_forgotten(entry.second, now); });
    return knows_hosts
        && std::ranges::all_of(this->hosts, [&](auto const& entry) { return is_silent(entry.second, now); });
}

bool Reach::looks_after(Address const& own_address, std::string_view subject, Instant now) const
{
    auto own_rank = rank(own_address, subject);
    return std::ranges::none_of(this->hosts,
        [&](auto const& entry) { return !is_silent(entry.second, now) && rank(entry.first, subject) > own_rank; });
}

std::vector<FailureDomainId> Reach::silent_domains(Instant now) const
{
    struct Domain {
        Instant heard_at {};
        Duration period { 0 };
        int hosts { 0 };
    };
    std::map<FailureDomainId, Domain> domains;
    for (auto const& [address, host] : this->hosts) {
        if (host.said.domain == this->own_domain || is_forgotten(host, now))
            continue;
        auto& domain = domains[host.said.domain];
        domain.heard_at = std::max(domain.heard_at, host.heard_at);
        domain.period = std::max(domain.period, host.said.period);
        ++domain.hosts;
    }
    std::vector<FailureDomainId> silent;
    for (auto const& [name, domain] : domains) {
        auto limit
            = std::max<Duration>(shortest_domain_silence, tolerated_missing_messages * domain.period / domain.hosts);
        if (now - domain.heard_at > limit)
            silent.push_back(name);
    }
    return silent;
}

}
