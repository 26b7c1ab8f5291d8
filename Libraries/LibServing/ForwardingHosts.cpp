/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ForwardingHosts.h>
#include <algorithm>
#include <tuple>

namespace Serving {

void ForwardingHosts::record_contact(
    Address const& host, FailureDomainId const& domain, std::span<ServiceName const> services, Instant now)
{
    auto& entry = this->hosts[host];
    entry.domain = domain;
    for (auto const& service : services)
        entry.contact_at[service] = now;
}

void ForwardingHosts::record_failure(Address const& host, Instant now)
{
    auto const known = this->hosts.find(host);
    if (known != this->hosts.end())
        known->second.avoid_until = now + avoidance;
}

void ForwardingHosts::record_end(Address const& host)
{
    auto const known = this->hosts.find(host);
    if (known != this->hosts.end() && known->second.in_flight > 0)
        --known->second.in_flight;
}

bool ForwardingHosts::may_get(Host const& host, Address const& address, Need const& need, Instant now)
{
    auto const contact = host.contact_at.find(need.service);
    if (contact == host.contact_at.end() || now - contact->second >= report_lifetime || now < host.avoid_until)
        return false;
    if (std::ranges::find(need.tried, address) != need.tried.end())
        return false;
    auto const region = need.region_of.find(host.domain);
    return need.regions.allow(region == need.region_of.end() ? RegionId() : region->second);
}

std::optional<Address> ForwardingHosts::choose(Need const& need, u64 draw, Instant now) const
{
    std::optional<Address> chosen;
    std::tuple<bool, u32, u64> lowest;
    u64 position = draw;
    for (auto const& [address, host] : this->hosts) {
        if (!may_get(host, address, need, now))
            continue;
        constexpr u64 odd_multiplier = 0x9E3779B97F4A7C15;
        std::tuple const rank(host.domain != need.own_domain, host.in_flight, position = position * odd_multiplier + 1);
        if (chosen && rank >= lowest)
            continue;
        chosen = address;
        lowest = rank;
    }
    return chosen;
}

void ForwardingHosts::forget_expired(Instant now)
{
    std::erase_if(this->hosts, [now](auto const& entry) {
        auto const& host = entry.second;
        return host.in_flight == 0 && now >= host.avoid_until
            && std::ranges::all_of(
                host.contact_at, [now](auto const& contact) { return now - contact.second >= report_lifetime; });
    });
}

}
