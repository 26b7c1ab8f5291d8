/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PaceTable.h>
#include <utility>

namespace Overload {

/// One full state message at their slowest rate, which is one a second. A host that misses all of them still learns the
/// speed from its own requests.
static constexpr Duration host_repetition = 1200ms;
/// One full state message of the representative of a domain, which sends them every half second.
static constexpr Duration domain_repetition = 600ms;

PaceTable::News const& PaceTable::Entry::news(PaceScope scope) const
{
    return scope == PaceScope::Host ? this->host : this->domain;
}

EnginePace PaceTable::Entry::pace_for(PaceScope scope) const
{
    return scope == PaceScope::Host ? this->pace.own.pace() : this->pace.observed();
}

void PaceTable::begin(News& news, Instant now) { news = { now, true }; }

KnownPace& PaceTable::pace_of(EngineId const& id, ServerStart start)
{
    auto& entry = this->entries[id];
    if (entry.start != start)
        entry = {};
    entry.start = start;
    return entry.pace;
}

bool PaceTable::record_observation(EngineId const& id, Instant now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.pace.has_news())
        return false;
    auto& entry = found->second;
    entry.pace.record_announcement();
    begin(entry.host, now);
    begin(entry.domain, now);
    this->has_unsent_host = true;
    this->has_unsent_domain = true;
    return true;
}

void PaceTable::merge(PaceReport const& report, bool is_local, Instant now)
{
    auto& pace = this->pace_of(report.engine, report.start);
    bool const is_news = pace.merge(report.pace);
    if (!is_local || !is_news)
        return;
    begin(this->entries[report.engine].domain, now);
    this->has_unsent_domain = true;
}

std::vector<PaceReport> PaceTable::take_unsent(PaceScope scope)
{
    auto& has_unsent = scope == PaceScope::Host ? this->has_unsent_host : this->has_unsent_domain;
    if (!std::exchange(has_unsent, false))
        return {};
    std::vector<PaceReport> reports;
    for (auto& [id, entry] : this->entries) {
        auto& news = scope == PaceScope::Host ? entry.host : entry.domain;
        if (std::exchange(news.is_unsent, false))
            reports.push_back({ id, entry.start, entry.pace_for(scope), entry.pace.report });
    }
    return reports;
}

std::vector<PaceReport> PaceTable::recent(PaceScope scope, Instant now) const
{
    auto const repetition = scope == PaceScope::Host ? host_repetition : domain_repetition;
    std::vector<PaceReport> reports;
    for (auto const& [id, entry] : this->entries) {
        auto const& since = entry.news(scope).since;
        if (since && now - *since < repetition)
            reports.push_back({ id, entry.start, entry.pace_for(scope), entry.pace.report });
    }
    return reports;
}

std::vector<PaceReport> PaceTable::all_own() const
{
    std::vector<PaceReport> reports;
    for (auto const& [id, entry] : this->entries) {
        auto const pace = entry.pace.own.pace();
        if (pace != EnginePace {})
            reports.push_back({ id, entry.start, pace, entry.pace.report });
    }
    return reports;
}

void PaceTable::retain(std::function<bool(EngineId const&, ServerStart)> const& is_kept)
{
    std::erase_if(this->entries, [&](auto const& entry) { return !is_kept(entry.first, entry.second.start); });
}

}
