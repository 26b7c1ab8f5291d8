/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibOverload/DomainDoubt.h>
#include <algorithm>

namespace Overload {

/// In a group of this many servers, two of them may well terminate at about the same time by coincidence.
static constexpr size_t large_group = 24;

std::string_view to_string(DomainDoubt::Ending ending)
{
    switch (ending) {
    case DomainDoubt::Ending::None:
        return "none";
    case DomainDoubt::Ending::Response:
        return "response";
    case DomainDoubt::Ending::Report:
        return "report";
    case DomainDoubt::Ending::Lapsed:
        return "lapsed";
    }
    VERIFY(false);
}

size_t DomainDoubt::min_failed_servers(size_t servers) { return servers < large_group ? 2 : 3; }

bool DomainDoubt::record_failure(ServerGroup const& name, EngineId const& server, size_t servers, Instant now)
{
    auto& group = this->groups[name];
    expire(group, now);
    group.failures[server] = now;
    bool const was_own = group.own_evidence_at.has_value();
    if (!was_own && group.failures.size() < min_failed_servers(servers))
        return false;
    group.own_evidence_at = now;
    update_since(group, now);
    return !was_own;
}

bool DomainDoubt::record_response(ServerGroup const& name, Instant now)
{
    auto found = this->groups.find(name);
    if (found == this->groups.end())
        return false;
    auto& group = found->second;
    bool const was_doubtful = is_doubtful(group, now);
    group.failures.clear();
    group.own_evidence_at.reset();
    group.reports.clear();
    group.voided_until = now;
    if (!was_doubtful)
        return false;
    group.own_clearance_at = now;
    group.last_ending = Ending::Response;
    update_since(group, now);
    return true;
}

bool DomainDoubt::apply_clearance(Group& group, DoubtReporter reporter, Instant responded_at, Instant now)
{
    bool const was_doubtful = is_doubtful(group, now);
    auto const is_voided = [&](Instant evidence_at) { return evidence_at <= responded_at; };
    std::erase_if(group.reports, [&](auto const& report) { return is_voided(report.second.evidence_at); });
    group.voided_until = std::max(group.voided_until.value_or(responded_at), responded_at);
    // A host of this domain has the same links to the servers. The links of other domains say nothing about them.
    if (reporter == DoubtReporter::LocalHost) {
        std::erase_if(group.failures, [&](auto const& failure) { return is_voided(failure.second); });
        if (group.own_evidence_at && is_voided(*group.own_evidence_at))
            group.own_evidence_at.reset();
    }
    update_since(group, now);
    bool const has_ended = was_doubtful && !is_doubtful(group, now);
    if (!has_ended)
        return false;
    group.last_ending = Ending::Report;
    if (reporter != DoubtReporter::LocalHost)
        return false;
    group.local_clearance_at = responded_at;
    return true;
}

bool DomainDoubt::record_report(MemberId const& name, DoubtReporter reporter, DoubtReport const& report, Instant now)
{
    if (report.age < 0s || report.age >= lifetime)
        return false;
    auto const at = now - report.age;
    if (report.is_cleared) {
        auto found = this->groups.find(report.group);
        return found != this->groups.end() && apply_clearance(found->second, reporter, at, now);
    }
    auto& group = this->groups[report.group];
    expire(group, now);
    bool const is_void = group.voided_until && at <= *group.voided_until;
    bool const is_excess = !group.reports.contains(name) && group.reports.size() >= max_reporters;
    if (is_void || is_excess)
        return false;
    auto const agreeing_before = agreeing_local_hosts(group, now);
    auto& known = group.reports[name];
    known.evidence_at = std::max(known.evidence_at, at);
    known.reporter = reporter;
    known.is_about_itself = reporter == DoubtReporter::Domain && name.value() == report.group.domain.value();
    update_since(group, now);
    return agreeing_before < sufficient_weight && agreeing_local_hosts(group, now) >= sufficient_weight;
}

bool DomainDoubt::is_doubtful(Group const& group, Instant now)
{
    if (is_recent(group.own_evidence_at, now))
        return true;
    int weight = 0;
    for (auto const& [name, report] : group.reports) {
        if (is_recent(report.evidence_at, now))
            weight += report.is_about_itself ? sufficient_weight : 1;
    }
    return weight >= sufficient_weight;
}

size_t DomainDoubt::agreeing_local_hosts(Group const& group, Instant now)
{
    auto const reporting = std::ranges::count_if(group.reports, [&](auto const& entry) {
        return entry.second.reporter == DoubtReporter::LocalHost && is_recent(entry.second.evidence_at, now);
    });
    return static_cast<size_t>(reporting) + (is_recent(group.own_evidence_at, now) ? 1 : 0);
}

Instant DomainDoubt::last_local_evidence(Group const& group)
{
    auto last = group.own_evidence_at.value_or(Instant {});
    for (auto const& [name, report] : group.reports) {
        if (report.reporter == DoubtReporter::LocalHost)
            last = std::max(last, report.evidence_at);
    }
    return last;
}

void DomainDoubt::update_since(Group& group, Instant now)
{
    if (!is_doubtful(group, now))
        return group.since.reset();
    if (!group.since)
        group.since = now;
}

void DomainDoubt::expire(Group& group, Instant now)
{
    std::erase_if(group.failures, [now](auto const& failure) { return now - failure.second >= moment; });
    std::erase_if(group.reports, [now](auto const& report) { return !is_recent(report.second.evidence_at, now); });
    if (!is_recent(group.own_evidence_at, now))
        group.own_evidence_at.reset();
    if (group.since && !is_doubtful(group, now)) {
        group.since.reset();
        group.last_ending = Ending::Lapsed;
    }
}

bool DomainDoubt::is_idle(Group const& group, Instant now)
{
    return group.failures.empty() && group.reports.empty() && !group.own_evidence_at && !group.is_logged_as_doubtful
        && !is_recent(group.voided_until, now) && !is_recent(group.own_clearance_at, now)
        && !is_recent(group.local_clearance_at, now);
}

bool DomainDoubt::is_doubtful(ServerGroup const& name, Instant now) const
{
    auto found = this->groups.find(name);
    return found != this->groups.end() && is_doubtful(found->second, now);
}

std::vector<DomainDoubt::DoubtfulDomain> DomainDoubt::doubtful_domains(ServiceName const& service, Instant now) const
{
    std::vector<DoubtfulDomain> domains;
    for (auto const& [name, group] : this->groups) {
        if (name.service == service && group.since && is_doubtful(group, now))
            domains.push_back({ name.domain, *group.since });
    }
    return domains;
}

std::vector<ServerGroup> DomainDoubt::doubtful_groups(Instant now) const
{
    std::vector<ServerGroup> doubtful;
    for (auto const& [name, group] : this->groups) {
        if (is_doubtful(group, now))
            doubtful.push_back(name);
    }
    return doubtful;
}

std::vector<DoubtReport> DomainDoubt::own_reports(Instant now) const
{
    std::vector<DoubtReport> reports;
    for (auto const& [name, group] : this->groups) {
        if (is_recent(group.own_evidence_at, now))
            reports.push_back({ name, now - *group.own_evidence_at, false });
        else if (is_recent(group.own_clearance_at, now))
            reports.push_back({ name, now - *group.own_clearance_at, true });
    }
    return reports;
}

std::vector<DoubtReport> DomainDoubt::domain_reports(Instant now) const
{
    std::vector<DoubtReport> reports;
    for (auto const& [name, group] : this->groups) {
        auto const cleared_at = std::max(group.own_clearance_at, group.local_clearance_at);
        if (agreeing_local_hosts(group, now) >= sufficient_weight)
            reports.push_back({ name, now - last_local_evidence(group), false });
        else if (is_recent(cleared_at, now))
            reports.push_back({ name, now - *cleared_at, true });
    }
    return reports;
}

std::vector<DomainDoubt::Change> DomainDoubt::take_changes(Instant now)
{
    std::vector<Change> changes;
    for (auto& [name, group] : this->groups) {
        expire(group, now);
        bool const is_now = is_doubtful(group, now);
        if (is_now) {
            group.logged_failed_servers = std::max(group.logged_failed_servers, group.failures.size());
            group.logged_reporters = std::max(group.logged_reporters, group.reports.size());
        }
        if (is_now == group.is_logged_as_doubtful)
            continue;
        group.is_logged_as_doubtful = is_now;
        if (is_now) {
            group.logged_since = group.since.value_or(now);
            changes.push_back({ name, Ending::None, group.failures.size(), group.reports.size(), 0s });
            continue;
        }
        changes.push_back(
            { name, group.last_ending, group.logged_failed_servers, group.logged_reporters, now - group.logged_since });
        group.logged_failed_servers = 0;
        group.logged_reporters = 0;
    }
    std::erase_if(this->groups, [now](auto const& entry) { return is_idle(entry.second, now); });
    return changes;
}

}
