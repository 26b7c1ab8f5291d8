/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Quarantine.h>
#include <algorithm>

namespace Serving {

/// Hosts notice terminations that happen at once within this time of each other: a connection that is refused is
/// noticed after a round trip, over a lossy link after a second.
static constexpr Duration max_event_span = 1s;

size_t count_events(Terminations const& terminations)
{
    std::vector<InterruptedRun> runs;
    for (auto const& [process, run] : terminations)
        runs.push_back(run);
    std::ranges::sort(runs, {}, [](InterruptedRun const& run) { return std::pair(run.ended, run.began); });
    size_t events = 0;
    std::optional<Instant> last_event_at;
    for (auto const& run : runs) {
        bool const is_same_event
            = last_event_at && run.ended - *last_event_at <= max_event_span && run.began < *last_event_at;
        if (is_same_event)
            continue;
        ++events;
        last_event_at = run.ended;
    }
    return events;
}

Quarantine::Change Quarantine::record_termination(
    RequestFingerprint const& request, ServerProcess const& process, InterruptedRun const& run, Instant now)
{
    return this->merge(request, { { process, run } }, 0s, now);
}

/// Several hosts may have noticed the termination of one process. The result does not depend on their order.
static void add_termination(Terminations& known, ServerProcess const& process, InterruptedRun const& run)
{
    auto const [found, is_new] = known.try_emplace(process, run);
    if (is_new)
        return;
    found->second.began = std::min(found->second.began, run.began);
    found->second.ended = std::min(found->second.ended, run.ended);
}

Quarantine::Change Quarantine::merge(
    RequestFingerprint const& request, Terminations const& terminated, Duration announced_hold, Instant now)
{
    if (this->is_recently_cleared(request, now))
        return Change::Nothing;
    auto found = this->entries.find(request);
    bool const was_held = found != this->entries.end() && found->second.held_until;
    Terminations new_terminations;
    for (auto const& [process, run] : terminated) {
        bool const is_known = found != this->entries.end() && found->second.terminated_under.contains(process);
        if (!is_known && (was_held || !this->is_attributed(process, request)))
            new_terminations.emplace(process, run);
    }
    bool const is_announced_held = announced_hold > 0s;
    if (new_terminations.empty() && (was_held || !is_announced_held))
        return Change::Nothing;
    if (found == this->entries.end()) {
        this->evict_if_full(request.organisation);
        found = this->entries.try_emplace(request).first;
        ++this->count_of_organisation[request.organisation];
    }
    auto& entry = found->second;
    for (auto const& [process, run] : new_terminations) {
        if (entry.terminated_under.size() < max_processes)
            add_termination(entry.terminated_under, process, run);
    }
    entry.changed_at = now;
    bool const has_enough = this->has_enough_terminations(request, entry);
    if (is_announced_held || has_enough) {
        auto const until = now
            + (has_enough && !new_terminations.empty() ? retention_time : std::min(announced_hold, retention_time));
        entry.held_until = std::max(entry.held_until.value_or(until), until);
        this->attribute_to(request);
    }
    if (!entry.held_until)
        return Change::Suspected;
    if (was_held) {
        grow_trial_pause(entry, new_terminations, now);
        return Change::Suspected;
    }
    entry.held_since = now;
    entry.trial_pause = first_trial_pause;
    entry.next_trial_at = now + first_trial_pause;
    return Change::Held;
}

/// Runs that were in progress when the part was quarantined were no trials.
void Quarantine::grow_trial_pause(Entry& entry, Terminations const& new_terminations, Instant now)
{
    bool const has_trial = std::ranges::any_of(
        new_terminations, [&](auto const& termination) { return termination.second.began >= entry.held_since; });
    if (!has_trial)
        return;
    entry.trial_pause = std::min(entry.trial_pause * trial_pause_growth, retention_time);
    entry.next_trial_at = std::max(entry.next_trial_at, now + entry.trial_pause);
}

void Quarantine::postpone_trial(RequestFingerprint const& part, Duration pause, Instant now)
{
    auto found = this->entries.find(part);
    if (found == this->entries.end() || !found->second.held_until)
        return;
    auto& entry = found->second;
    entry.next_trial_at = std::max(entry.next_trial_at, now + std::min(pause, retention_time));
}

bool Quarantine::begin_trial(RequestFingerprint const& part, Instant now)
{
    if (part.is_whole_request() || !this->held_for(part, now))
        return false;
    auto& entry = this->entries.at(part);
    entry.next_trial_at = now + entry.trial_pause;
    entry.changed_at = now;
    return true;
}

Duration Quarantine::trial_in(RequestFingerprint const& part, Instant now) const
{
    if (part.is_whole_request() || !this->held_for(part, now))
        return 0s;
    return std::max(Duration(0), this->entries.at(part).next_trial_at - now);
}

std::optional<Duration> Quarantine::refused_for(RequestFingerprint const& request, Instant now) const
{
    auto const held = this->held_for(request, now);
    if (!held || request.is_whole_request())
        return held;
    auto const trial_at = this->entries.at(request).next_trial_at + this->trial_offset;
    if (trial_at <= now)
        return {};
    return std::min(*held, trial_at - now);
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
    if (count_events(entry.terminated_under) < terminations_until_quarantine)
        return false;
    auto unexplained = entry.terminated_under;
    for (auto const& [held, known] : this->entries) {
        if (!known.held_until || !may_contain(held, request))
            continue;
        for (auto const& [process, run] : known.terminated_under)
            unexplained.erase(process);
    }
    return count_events(unexplained) >= min_unexplained_terminations;
}

/// Attributes the terminations to the quarantined request: the requests that ran beside it are no longer suspected of
/// having caused them.
void Quarantine::attribute_to(RequestFingerprint const& held)
{
    auto const attributed = this->entries.at(held).terminated_under;
    for (auto& [request, entry] : this->entries) {
        if (!entry.held_until && !may_contain(held, request))
            std::erase_if(entry.terminated_under,
                [&](auto const& termination) { return attributed.contains(termination.first); });
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
