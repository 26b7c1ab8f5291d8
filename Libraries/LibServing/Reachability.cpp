/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Reachability.h>
#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Serving {

/// The subject whose ranks order the hosts of a domain as readers of the platform and as representatives of the domain.
static constexpr std::string_view reading_duty = "platform";

/// A host that another one reports as lost must have been silent towards this host for this long.
static constexpr Duration min_loss_silence = 1500ms;

static u64 hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// The rank of a host for a subject. It takes hashes that are computed once, since a host computes the ranks of all
/// hosts of its domain for each engine several times a second.
static u64 rank(u64 host_hash, u64 subject_hash)
{
    return XXH3_64bits_withSeed(&host_hash, sizeof host_hash, subject_hash);
}

static u64 rank(Address const& host, u64 subject_hash) { return rank(hash_of(host.value()), subject_hash); }

Reachability::Host& Reachability::entry_of(Address const& host, Instant now)
{
    auto [entry, is_new] = this->hosts.try_emplace(host);
    if (is_new) {
        entry->second.hash = hash_of(host.value());
        entry->second.known_since = now;
    }
    return entry->second;
}

void Reachability::record_message(Address const& host, HostStatus const& status, Instant now)
{
    auto& entry = this->entry_of(host, now);
    entry.status = status;
    entry.last_seen = now;
    entry.is_reported_lost = false;
}

bool Reachability::record_loss(Address const& host, Instant now)
{
    auto known = this->hosts.find(host);
    if (known == this->hosts.end() || known->second.status.domain != this->own_domain)
        return false;
    auto& entry = known->second;
    if (is_silent(entry, now) || now - entry.last_seen <= min_loss_silence)
        return false;
    entry.is_reported_lost = true;
    return true;
}

void Reachability::record_message(Address const& host, Instant now)
{
    auto known = this->hosts.find(host);
    if (known == this->hosts.end())
        return;
    known->second.last_seen = now;
    known->second.is_reported_lost = false;
}

void Reachability::update_known_hosts(std::span<KnownHost const> known, Instant now, bool is_complete)
{
    for (auto const& host : known) {
        if (this->hosts.contains(host.address))
            continue;
        auto& status = this->entry_of(host.address, now).status;
        status.domain = host.domain;
        status.strength = host.strength;
    }
    if (is_complete && !this->table_read_at)
        this->table_read_at = now;
}

std::vector<KnownHost> Reachability::known_hosts(Instant now) const
{
    std::vector<KnownHost> known;
    for (auto const& [address, host] : this->hosts) {
        if (may_serve(host, now))
            known.push_back({ address, host.status.domain, host.status.strength });
    }
    return known;
}

std::vector<KnownHost> Reachability::local_hosts(Duration recently, Instant now) const
{
    auto known = this->known_hosts(now);
    std::erase_if(known, [&](KnownHost const& entry) {
        auto const& host = this->hosts.at(entry.address);
        return entry.domain != this->own_domain || (is_silent(host, now) && now - host.known_since >= recently);
    });
    return known;
}

/// The order of the hosts of a domain as its representatives and as readers of the platform. Hosts to which the
/// platform is available come first, then the strongest ones; hashes of addresses order the rest.
std::tuple<bool, u32, u64> Reachability::precedence_of(Host const& host)
{
    return { !host.status.platform_unavailable, host.status.strength, rank(host.hash, hash_of(reading_duty)) };
}

std::tuple<bool, u32, u64> Reachability::own_precedence(Address const& own_address) const
{
    return { !this->platform_unavailable, this->own_strength, rank(own_address, hash_of(reading_duty)) };
}

Reachability::HostStatus Reachability::own_status(Duration period, Instant now) const
{
    return { this->own_domain, period, this->platform_unavailable,
        this->table_read_at ? this->hosts_of_own_domain(now) : 0, this->own_strength };
}

u32 Reachability::hosts_of_own_domain(Instant now) const
{
    return 1 + static_cast<u32>(std::ranges::count_if(this->hosts, [&](auto const& entry) {
        return entry.second.status.domain == this->own_domain && may_serve(entry.second, now);
    }));
}

std::map<FailureDomainId, u32> Reachability::hosts_of_other_domains(Instant now) const
{
    struct Count {
        u32 known { 0 };
        u32 reported { 0 };
    };
    std::map<FailureDomainId, Count> counts;
    for (auto const& [address, host] : this->hosts) {
        if (host.status.domain == this->own_domain || !may_serve(host, now))
            continue;
        auto& count = counts[host.status.domain];
        ++count.known;
        count.reported = std::max(count.reported, host.status.hosts_of_domain);
    }
    std::map<FailureDomainId, u32> hosts_by_domain;
    for (auto const& [domain, count] : counts)
        hosts_by_domain[domain] = count.reported > 0 ? count.reported : count.known;
    return hosts_by_domain;
}

std::optional<u32> Reachability::fleet_size(Instant now) const
{
    if (!this->table_read_at)
        return {};
    auto size = this->hosts_of_own_domain(now);
    for (auto const& [domain, hosts] : this->hosts_of_other_domains(now))
        size += hosts;
    return size;
}

u32 Reachability::local_hosts_before(Address const& own_address, u64 subject_hash, Instant now) const
{
    auto const own_rank = rank(own_address, subject_hash);
    return static_cast<u32>(std::ranges::count_if(this->hosts, [&](auto const& entry) {
        auto const& host = entry.second;
        return host.status.domain == this->own_domain && may_serve(host, now)
            && rank(host.hash, subject_hash) > own_rank;
    }));
}

u32 Reachability::share_of(
    u32 whole, Address const& own_address, std::string_view subject, FailureDomainId const& domain, Instant now) const
{
    if (!this->table_read_at)
        return 0;
    auto const local_hosts = this->hosts_of_own_domain(now);
    auto const remote_domains = this->hosts_of_other_domains(now);
    auto fleet = local_hosts;
    for (auto const& [other, hosts] : remote_domains)
        fleet += hosts;
    auto domain_share = [&](u32 hosts) { return static_cast<u32>(u64(whole) * hosts / fleet); };
    auto own_domain_share = domain_share(local_hosts);
    if (domain == this->own_domain) {
        own_domain_share = whole;
        for (auto const& [other, hosts] : remote_domains)
            own_domain_share -= std::min(own_domain_share, domain_share(hosts));
    }
    auto const remainder = own_domain_share % local_hosts;
    bool const has_one_more = remainder > 0 && this->local_hosts_before(own_address, hash_of(subject), now) < remainder;
    return own_domain_share / local_hosts + (has_one_more ? 1 : 0);
}

std::optional<Duration> Reachability::fleet_known_for(Instant now) const
{
    if (!this->table_read_at)
        return {};
    return now - *this->table_read_at;
}

bool Reachability::is_local(Address const& host) const
{
    auto known = this->hosts.find(host);
    return known != this->hosts.end() && known->second.status.domain == this->own_domain;
}

bool Reachability::is_reachable(Address const& host, Instant now) const
{
    auto known = this->hosts.find(host);
    return known != this->hosts.end() && !is_silent(known->second, now);
}

bool Reachability::is_available_reader(Host const& host, Instant now) const
{
    return host.status.domain == this->own_domain && !is_silent(host, now) && !host.status.platform_unavailable;
}

size_t Reachability::available_readers(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(
        this->hosts, [&](auto const& entry) { return this->is_available_reader(entry.second, now); }));
}

size_t Reachability::available_readers_before(Address const& own_address, Instant now) const
{
    auto const own = this->own_precedence(own_address);
    return static_cast<size_t>(std::ranges::count_if(this->hosts, [&](auto const& entry) {
        // Whether the platform is available to this host itself does not matter here.
        auto precedence = precedence_of(entry.second);
        std::get<0>(precedence) = std::get<0>(own);
        return this->is_available_reader(entry.second, now) && precedence > own;
    }));
}

size_t Reachability::representatives_before(Address const& own_address, Instant now) const
{
    auto const own = this->own_precedence(own_address);
    return static_cast<size_t>(std::ranges::count_if(this->hosts, [&](auto const& entry) {
        auto const& host = entry.second;
        return host.status.domain == this->own_domain && !is_silent(host, now) && precedence_of(host) > own;
    }));
}

std::vector<Address> Reachability::first_local_hosts(size_t count, Instant now) const
{
    std::vector<std::pair<std::tuple<bool, u32, u64>, Address>> ordered;
    for (auto const& [address, host] : this->hosts) {
        if (host.status.domain == this->own_domain && !is_silent(host, now))
            ordered.emplace_back(precedence_of(host), address);
    }
    count = std::min(count, ordered.size());
    std::ranges::partial_sort(ordered, ordered.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater {});
    std::vector<Address> first;
    for (size_t i = 0; i < count; ++i)
        first.push_back(ordered[i].second);
    return first;
}

Address Reachability::first_representative(Address const& own_address, Instant now) const
{
    auto first = this->own_precedence(own_address);
    auto representative = own_address;
    for (auto const& [address, host] : this->hosts) {
        auto const precedence = precedence_of(host);
        if (host.status.domain != this->own_domain || is_silent(host, now) || precedence <= first)
            continue;
        first = precedence;
        representative = address;
    }
    return representative;
}

std::vector<FailureDomainId> Reachability::reachable_domains(Instant now) const
{
    auto domains = this->other_domains();
    auto const silent = this->silent_domains(now);
    std::erase_if(domains, [&](auto const& domain) { return std::ranges::find(silent, domain) != silent.end(); });
    return domains;
}

bool Reachability::is_primary_reader(Address const& own_address, Instant now) const
{
    return this->available_readers_before(own_address, now) == 0;
}

bool Reachability::is_leading_reader(Address const& own_address, Instant now) const
{
    if (this->platform_unavailable || !this->is_primary_reader(own_address, now))
        return false;
    return std::ranges::none_of(this->hosts, [&](auto const& entry) {
        auto const& host = entry.second;
        return host.status.domain < this->own_domain && !is_silent(host, now) && !host.status.platform_unavailable;
    });
}

bool Reachability::reads_platform(Address const& own_address, Instant now) const
{
    // A host to which the platform is unavailable continues to poll it, to notice its recovery.
    if (this->platform_unavailable)
        return true;
    bool const has_other_domains = std::ranges::any_of(this->hosts, [&](auto const& entry) {
        return entry.second.status.domain != this->own_domain && !is_silent(entry.second, now);
    });
    bool const needs_one = has_other_domains && this->available_readers(now) + 1 < large_domain;
    return this->available_readers_before(own_address, now) < (needs_one ? 1 : readers_of_large_domain);
}

std::vector<FailureDomainId> Reachability::other_domains() const
{
    std::set<FailureDomainId> domains;
    for (auto const& [address, host] : this->hosts) {
        if (host.status.domain != this->own_domain)
            domains.insert(host.status.domain);
    }
    return { domains.begin(), domains.end() };
}

std::vector<Address> Reachability::receivers_in(FailureDomainId const& domain, u64 draw, Instant now) const
{
    Host const* latest = nullptr;
    Address receiver;
    std::vector<std::pair<u64, Address>> candidates;
    for (auto const& [address, host] : this->hosts) {
        if (host.status.domain != domain)
            continue;
        candidates.emplace_back(rank(host.hash, draw), address);
        // A host to which the platform is unavailable cannot forward missed updates to its domain.
        bool const is_better = !latest
            || std::pair(!host.status.platform_unavailable, host.last_seen)
                > std::pair(!latest->status.platform_unavailable, latest->last_seen);
        if (is_silent(host, now) || !is_better)
            continue;
        latest = &host;
        receiver = address;
    }
    if (latest)
        return { receiver };
    auto const count = std::min(candidates.size(), probes_per_silent_domain);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<Address> probed;
    probed.reserve(count);
    for (size_t i = 0; i < count; ++i)
        probed.push_back(candidates[i].second);
    return probed;
}

std::vector<Address> Reachability::remote_receivers(u64 draw, Instant now) const
{
    std::vector<Address> receivers;
    for (auto const& domain : this->other_domains())
        std::ranges::copy(this->receivers_in(domain, draw, now), std::back_inserter(receivers));
    return receivers;
}

size_t Reachability::remote_host_count() const
{
    return static_cast<size_t>(std::ranges::count_if(
        this->hosts, [&](auto const& entry) { return entry.second.status.domain != this->own_domain; }));
}

size_t Reachability::reachable_local_hosts(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(this->hosts, [&](auto const& entry) {
        return entry.second.status.domain == this->own_domain && !is_silent(entry.second, now);
    }));
}

Duration Reachability::domain_message_age(FailureDomainId const& domain, Instant now) const
{
    Instant last_seen {};
    for (auto const& [address, host] : this->hosts) {
        if (host.status.domain == domain)
            last_seen = std::max(last_seen, host.last_seen);
    }
    return last_seen == Instant {} ? Duration::max() : now - last_seen;
}

bool Reachability::is_partitioned(Instant now) const
{
    if (this->platform_unavailable)
        return true;
    bool const knows_hosts
        = std::ranges::any_of(this->hosts, [&](auto const& entry) { return !is_forgotten(entry.second, now); });
    return knows_hosts
        && std::ranges::all_of(this->hosts, [&](auto const& entry) { return is_silent(entry.second, now); });
}

bool Reachability::is_responsible_for(
    Address const& own_address, std::string_view subject, FailureDomainId const& domain, Instant now) const
{
    auto const subject_hash = hash_of(subject);
    auto precedence = [&](FailureDomainId const& of, u64 host_hash) {
        return std::pair(of == domain, rank(host_hash, subject_hash));
    };
    auto const own = precedence(this->own_domain, hash_of(own_address.value()));
    return std::ranges::none_of(this->hosts, [&](auto const& entry) {
        return !is_silent(entry.second, now) && precedence(entry.second.status.domain, entry.second.hash) > own;
    });
}

std::vector<FailureDomainId> Reachability::silent_domains(Instant now) const
{
    struct Domain {
        Instant last_seen {};
        Duration period { 0 };
        int hosts { 0 };
    };
    std::map<FailureDomainId, Domain> domains;
    for (auto const& [address, host] : this->hosts) {
        if (is_forgotten(host, now) || host.status.domain == this->own_domain)
            continue;
        auto& domain = domains[host.status.domain];
        domain.last_seen = std::max(domain.last_seen, host.last_seen);
        domain.period = std::max(domain.period, host.status.period);
        ++domain.hosts;
    }
    std::vector<FailureDomainId> silent;
    for (auto const& [name, domain] : domains) {
        auto limit = std::max<Duration>(min_domain_silence, tolerated_missing_messages * domain.period / domain.hosts);
        if (now - domain.last_seen > limit)
            silent.push_back(name);
    }
    return silent;
}

}
