/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServiceContact.h>
#include <algorithm>

namespace Serving {

void ServiceContact::record_contact(ServiceName const& service, Instant now)
{
    if (this->failures.empty())
        return;
    auto const known = this->failures.extract(service);
    if (known.empty() || !known.mapped().is_lost)
        return;
    --this->lost_count;
    auto const& ended = known.mapped();
    this->changes.push_back({ service, false, ended.servers.size(), now - ended.since });
}

void ServiceContact::record_failure(ServiceName const& service, FailedServer const& server, size_t servers, Instant now)
{
    auto const [known, is_first] = this->failures.try_emplace(service);
    auto& entry = known->second;
    if (is_first)
        entry.since = now;
    if (entry.is_lost)
        return;
    entry.servers.insert(server.id);
    entry.has_failed_nearest = entry.has_failed_nearest || server.is_among_nearest;
    if (!entry.has_failed_nearest || entry.servers.size() < std::min(conclusive_failures, servers))
        return;
    entry.is_lost = true;
    ++this->lost_count;
    this->changes.push_back({ service, true, entry.servers.size(), now - entry.since });
}

ServiceContact::Failures const* ServiceContact::lost_at(ServiceName const& service) const
{
    auto const known = this->failures.find(service);
    return known != this->failures.end() && known->second.is_lost ? &known->second : nullptr;
}

std::vector<ServiceName> ServiceContact::lost_services() const
{
    std::vector<ServiceName> lost;
    if (this->lost_count == 0)
        return lost;
    for (auto const& [service, entry] : this->failures) {
        if (entry.is_lost)
            lost.push_back(service);
    }
    return lost;
}

}
