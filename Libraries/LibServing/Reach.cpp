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

void Reach::heard(Address const& host, FailureDomainId const& domain, Instant now)
{
    this->hosts[host] = { domain, now };
}

void Reach::heard(Address const& host, Instant now)
{
    auto known = this->hosts.find(host);
    if (known != this->hosts.end())
        known->second.heard_at = now;
}

bool Reach::is_cut_off(Instant now) const
{
    if (this->platform_lost)
        return true;
    bool const knows_hosts
        = std::ranges::any_of(this->hosts, [&](auto const& entry) { return !this->is_forgotten(entry.second, now); });
    return knows_hosts
        && std::ranges::all_of(this->hosts, [&](auto const& entry) { return this->is_silent(entry.second, now); });
}

bool Reach::misses_hosts(Instant now) const
{
    return std::ranges::any_of(this->hosts, [&](auto const& entry) {
        return this->is_silent(entry.second, now) && !this->is_forgotten(entry.second, now);
    });
}

static u64 rank(Address const& host, std::string_view subject)
{
    auto text = host.value() + '/';
    text += subject;
    return XXH3_64bits(text.data(), text.size());
}

bool Reach::looks_after(Address const& own_address, std::string_view subject, Instant now) const
{
    auto own_rank = rank(own_address, subject);
    return std::ranges::none_of(this->hosts, [&](auto const& entry) {
        return !this->is_silent(entry.second, now) && rank(entry.first, subject) > own_rank;
    });
}

std::vector<FailureDomainId> Reach::silent_domains(Instant now) const
{
    std::set<FailureDomainId> silent;
    std::set<FailureDomainId> heard;
    for (auto const& [address, host] : this->hosts) {
        if (host.domain == this->own_domain || this->is_forgotten(host, now))
            continue;
        (this->is_silent(host, now) ? silent : heard).insert(host.domain);
    }
    std::vector<FailureDomainId> result;
    std::ranges::set_difference(silent, heard, std::back_inserter(result));
    return result;
}

}
