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
    RequestFingerprint const& request, std::set<ServerProcess> const& terminated, Duration announced_hold, Instant now)
{
    if (this->is_recently_cleared(request, now))
        return Change::Nothing;
    auto found = this->entries.find(request);
    bool const was_held = found != this->entries.end() && found->second.held_until;
    std::set<ServerProcess> new_processes;
    for (auto const& process : terminated) {
        bool const is_known = found != this->entries.end() && found->second.terminated_under.contains(process);
        if (!is_known && (was_held || !this->is_attributed(process, request)))
            new_processes.insert(process);
    }
    bool const is_announced_held = announced_hold > 0s;
    if (new_processes.empty() && (was_held || !is_announced_held))
        return Change::Nothing;
    if (found == this->entries.end()) {
        this->evict_if_full(request.organisation);
        found = this->entries.try_emplace(request).first;
        ++this->count_of_organisation[request.organisation];
    }
    auto& entry = found->second;
    for (auto const& process : new_processes) {
        if (entry.terminated_under.size() < max_processes)
            entry.terminated_under.insert(process);
    }
    entry.changed_at = now;
    bool const has_enough = this->has_enough_terminations(request, entry);
    if (is_announced_held || has_enough) {
        auto const until
            = now + (has_enough && !new_processes.empty() ? retention_time : std::min(announced_hold, retention_time));
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
        bool const is_expired = entry.held_until ? *entry.held_until <= now : now - entry.changed_at >= retention_time;
        if (!is_expired)
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
    auto found = this->cleared_until.find(request);
    return found != this->cleared_until.end() && now < found->second;
}

void Quarantine::record_cleared(RequestFingerprint const& request, Instant now)
{
    auto const until = now + (request.is_whole_request() ? clearance_lifetime : part_clearance_lifetime);
    this->cleared_until[request] = until;
    this->cleared_order.emplace_back(until, request);
    while (this->cleared_order.front().first <= now || this->cleared_order.size() > max_cleared) {
        auto const& [expires_at, oldest] = this->cleared_order.front();
        auto found = this->cleared_until.find(oldest);
        if (found != this->cleared_until.end() && found->second == expires_at)
            this->cleared_until.erase(found);
        this->cleared_order.pop_front();
    }
}

/// Whether requests with the quarantined prompt part or request may also have the suspected part, so that both can be
/// suspected of the same terminations.
static bool may_contain(RequestFingerprint const& held, RequestFingerprint const& suspect)
{
    return !suspect.is_whole_request() && suspect.organisation == held.organisation
        && suspect.specificity() < held.specificity();
}

bool Quarantine::is_attributed(ServerProcess const& process, RequestFingerprint const& suspect) const
{
    return std::ranges::any_of(this->entries, [&](auto const& item) {
        return item.second.held_until && item.second.terminated_under.contains(process)
            && !may_contain(item.first, suspect);
    });
}

bool Quarantine::has_enough_terminations(RequestFingerprint const& request, Entry const& entry) const
{
    if (entry.terminated_under.size() < terminations_until_quarantine)
        return false;
    auto unexplained = entry.terminated_under;
    for (auto const& [held, known] : this->entries) {
        if (!known.held_until || !may_contain(held, request))
            continue;
        for (auto const& process : known.terminated_under)
            unexplained.erase(process);
    }
    return unexplained.size() >= min_unexplained_terminations;
}

/// Attributes the terminations to the quarantined request: the requests that ran beside it are no longer suspected of
/// having caused them.
void Quarantine::attribute_to(RequestFingerprint const& held)
{
    auto const attributed = this->entries.at(held).terminated_under;
    for (auto& [request, entry] : this->entries) {
        if (!entry.held_until && !may_contain(held, request))
            std::erase_if(
                entry.terminated_under, [&](ServerProcess const& process) { return attributed.contains(process); });
    }
    std::erase_if(this->entries, [&](auto const& item) {
        auto const& [request, entry] = item;
        if (entry.held_until || !entry.terminated_under.empty())
            return false;
        --this->count_of_organisation[request.organisation];
        return true;
    });
}

void Quarantine::evict_if_full(OrganisationId const& organisation)
{
    if (this->count_of_organisation[organisation] >= max_entries_per_organisation)
        this->evict_oldest(organisation);
    else if (this->entries.size() >= max_entries)
        this->evict_oldest({});
}

/// Evicts entries that are only suspected before quarantined ones.
void Quarantine::evict_oldest(std::optional<OrganisationId> const& of)
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
    ++this->evicted_total;
}

}
