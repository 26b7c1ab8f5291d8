/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Quarantine.h>
#include <algorithm>

namespace Serving {

Quarantine::Change Quarantine::record_termination(
    RequestFingerprint const& request, ServerProcess const& process, Instant now)
{
    return this->merge(request, { process }, 0s, now);
}

Quarantine::Change Quarantine::merge(
    RequestFingerprint const& request, std::set<ServerProcess> const& ended, Duration told_hold, Instant now)
{
    if (this->is_recently_cleared(request, now))
        return Change::Nothing;
    auto found = this->entries.find(request);
    bool const was_held = found != this->entries.end() && found->second.held_until;
    std::set<ServerProcess> news;
    for (auto const& process : ended) {
        bool const is_known = found != this->entries.end() && found->second.terminated_under.contains(process);
        if (!is_known && (was_held || !this->is_attributed(process)))
            news.insert(process);
    }
    bool const is_told_held = told_hold > 0s;
    if (news.empty() && (was_held || !is_told_held))
        return Change::Nothing;
    if (found == this->entries.end()) {
        this->make_room(request.organisation);
        found = this->entries.try_emplace(request).first;
        ++this->count_of_organisation[request.organisation];
    }
    auto& entry = found->second;
    for (auto const& process : news) {
        if (entry.terminated_under.size() < most_processes)
            entry.terminated_under.insert(process);
    }
    entry.changed_at = now;
    bool const has_enough = entry.terminated_under.size() >= terminations_until_quarantine;
    if (is_told_held || has_enough) {
        auto const until = now + (has_enough && !news.empty() ? retention_time : std::min(told_hold, retention_time));
        entry.held_until = std::max(entry.held_until.value_or(until), until);
        this->attribute_to(request);
    }
    return entry.held_until && !was_held ? Change::Held : Change::Suspected;
}

bool Quarantine::clear(RequestFingerprint const& request, Instant now)
{
    this->record_cleared(request, now);
    if (this->entries.erase(request) == 0)
        return false;
    --this->count_of_organisation[request.organisation];
    return true;
}

std::optional<Duration> Quarantine::held_for(RequestFingerprint const& request, Instant now) const
{
    auto found = this->entries.find(request);
    if (found == this->entries.end() || !found->second.held_until || *found->second.held_until <= now)
        return {};
    return *found->second.held_until - now;
}

std::vector<RequestFingerprint> Quarantine::forget_expired(Instant now)
{
    std::vector<RequestFingerprint> released;
    std::erase_if(this->entries, [&](auto const& item) {
        auto const& [request, entry] = item;
        bool const is_over = entry.held_until ? *entry.held_until <= now : now - entry.changed_at >= retention_time;
        if (!is_over)
            return false;
        --this->count_of_organisation[request.organisation];
        if (entry.held_until)
            released.push_back(request);
        return true;
    });
    std::erase_if(this->count_of_organisation, [](auto const& item) { return item.second == 0; });
    return released;
}

bool Quarantine::is_recently_cleared(RequestFingerprint const& request, Instant now) const
{
    auto found = this->innocent_until.find(request);
    return found != this->innocent_until.end() && now < found->second;
}

void Quarantine::record_cleared(RequestFingerprint const& request, Instant now)
{
    this->innocent_until[request] = now + innocent_for;
    this->innocent_order.emplace_back(now + innocent_for, request);
    while (this->innocent_order.front().first <= now || this->innocent_order.size() > most_innocent) {
        auto const& [until, oldest] = this->innocent_order.front();
        auto found = this->innocent_until.find(oldest);
        if (found != this->innocent_until.end() && found->second == until)
            this->innocent_until.erase(found);
        this->innocent_order.pop_front();
    }
}

bool Quarantine::is_attributed(ServerProcess const& process) const
{
    return std::ranges::any_of(this->entries,
        [&](auto const& item) { return item.second.held_until && item.second.terminated_under.contains(process); });
}

/// What ran beside the request that is held back did not end these processes.
void Quarantine::attribute_to(RequestFingerprint const& held)
{
    auto const explained = this->entries.at(held).terminated_under;
    for (auto& [request, entry] : this->entries) {
        if (!entry.held_until)
            std::erase_if(
                entry.terminated_under, [&](ServerProcess const& process) { return explained.contains(process); });
    }
    std::erase_if(this->entries, [&](auto const& item) {
        auto const& [request, entry] = item;
        if (entry.held_until || !entry.terminated_under.empty())
            return false;
        --this->count_of_organisation[request.organisation];
        return true;
    });
}

void Quarantine::make_room(OrganisationId const& organisation)
{
    if (this->count_of_organisation[organisation] >= most_of_organisation)
        this->drop_oldest(organisation);
    else if (this->entries.size() >= most_entries)
        this->drop_oldest({});
}

/// Those that are only suspected go first.
void Quarantine::drop_oldest(std::optional<OrganisationId> const& of)
{
    auto oldest = this->entries.end();
    auto order = [](Entry const& entry) { return std::pair(entry.held_until.has_value(), entry.changed_at); };
    for (auto candidate = this->entries.begin(); candidate != this->entries.end(); ++candidate) {
        if (of && candidate->first.organisation != *of)
            continue;
        if (oldest == this->entries.end() || order(candidate->second) < order(oldest->second))
            oldest = candidate;
    }
    if (oldest == this->entries.end())
        return;
    --this->count_of_organisation[oldest->first.organisation];
    this->entries.erase(oldest);
    ++this->dropped_total;
}

}
