/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/BackendList.h>
#include <algorithm>
#include <set>

namespace Serving {

BackendList::BackendList(ServingContext& context, Observer observer)
    : context(context)
    , observer(std::move(observer))
{
}

void BackendList::apply_list(std::vector<BackendServer> const& servers, std::vector<EngineId> const& unusable)
{
    std::set<EngineId> present(unusable.begin(), unusable.end());
    for (auto const& id : unusable)
        this->mark_unusable(id);
    for (auto const& server : servers) {
        present.insert(server.id);
        this->apply_entry(server);
    }
    std::vector<EngineId> missing;
    for (auto const& [id, backend] : this->context.backends.all()) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (auto const& id : missing)
        this->handle_removal(id);
}

void BackendList::apply_entry(BackendServer const& server)
{
    auto now = this->context.now();
    this->deferred_removals.erase(server.id);
    auto before = this->context.backends.find(server.id);
    if (before && before->matches_start(server.start))
        before->has_unusable_entry = false;
    bool const was_serving = before && before->availability == Availability::Serving;
    auto backend = this->context.backends.update(server, now);
    if (!backend)
        return;
    backend->has_unusable_entry = false;
    bool const is_new = backend != before;
    if (is_new)
        this->observer.on_added(backend);
    this->context.log.event(Core::EventNumber::BackendServerChanged, server.id.value())
        .with("state", to_string(backend->availability))
        .with("service", server.service)
        .with("address", server.address)
        .with("failure_domain", server.failure_domain)
        .with("slots", server.slots)
        .with("start", server.start)
        .with("cold_ms", server.warm_up_left);
    if (is_new && before && before->server.start < server.start)
        before->notify_termination();
    bool const begins_to_leave = backend->availability == Availability::Leaving && (was_serving || is_new);
    if (begins_to_leave) {
        backend->available_since = now;
        this->observer.on_leaving(backend);
    }
}

void BackendList::mark_unusable(EngineId const& id)
{
    this->deferred_removals.erase(id);
    if (auto backend = this->context.backends.find(id))
        backend->has_unusable_entry = true;
}

void BackendList::handle_termination(EngineId const& id, ServerStart start, Address const& address)
{
    auto backend = this->context.backends.find_running(id);
    if (!backend || backend->has_terminated || !backend->matches_start(start) || backend->server.address != address)
        return;
    backend->has_terminated = true;
    this->context.log.event(Core::EventNumber::BackendServerChanged, id.value())
        .with("state", "ended")
        .with("address", address)
        .with("start", start)
        .with("reason", "another process responds at its address");
}

void BackendList::handle_leaving(EngineId const& id, ServerStart start, std::optional<Instant> ends_at)
{
    auto backend = this->context.backends.find(id);
    if (!backend || !backend->matches_start(start))
        return;
    bool const was_serving = backend->availability == Availability::Serving;
    backend->record_leaving();
    if (!was_serving)
        return;
    backend->available_since = this->context.now();
    if (ends_at)
        backend->ends_at = ends_at;
    this->context.log.event(Core::EventNumber::BackendServerChanged, id.value())
        .with("state", to_string(backend->availability))
        .with("heard_from", "another host or itself");
    this->observer.on_leaving(backend);
}

void BackendList::handle_removal(EngineId const& id)
{
    auto const now = this->context.now();
    auto const recovery = this->recovery();
    if (!recovery || this->is_due(id, *recovery, now))
        return this->remove_now(id);
    if (this->deferred_removals.try_emplace(id, *recovery).second)
        this->log_deferred(id, *recovery, now);
}

void BackendList::log_deferred(EngineId const& id, Recovery const& recovery, Instant now) const
{
    auto const& domain = this->context.backends.find(id)->server.failure_domain;
    auto const reason = this->context.platform_contact.possible_expiry(domain, recovery.outage_began, now);
    this->context.log.event(Core::EventNumber::BackendServerRemovalDeferred, id.value())
        .with("reason", to_string(reason))
        .with("outage_began_ms_ago", now - recovery.outage_began)
        .with("left_ms", this->wait_left(domain, recovery, now));
}

Duration BackendList::wait_left(FailureDomainId const& domain, Recovery const& recovery, Instant now) const
{
    switch (this->context.platform_contact.possible_expiry(domain, recovery.outage_began, now)) {
    case PossibleExpiry::None:
        return Duration(0);
    case PossibleExpiry::OwnDomainCutOff:
        return std::max<Duration>(Duration(0), recovery.ends_for_own_domain_at - now);
    case PossibleExpiry::PlatformAway:
        return std::max<Duration>(Duration(0), recovery.ends_at - now);
    }
    VERIFY(false);
}

bool BackendList::is_due(EngineId const& id, Recovery const& recovery, Instant now) const
{
    auto const backend = this->context.backends.find(id);
    return !backend || this->wait_left(backend->server.failure_domain, recovery, now) == Duration(0);
}

void BackendList::remove_now(EngineId const& id)
{
    auto now = this->context.now();
    auto backend = this->context.backends.remove(id, now);
    if (!backend)
        return;
    this->context.log.event(Core::EventNumber::BackendServerGone, id.value())
        .with("own_generations", backend->engine.own_generations)
        .with("in_flight", backend->in_flight);
    // The server may keep running for as long as one that announced that it is leaving; its generations are moved in
    // both cases.
    if (!backend->ends_at)
        backend->available_since = now;
    this->observer.on_leaving(backend);
}

BackendList::Recovery BackendList::recovery_from_now(Duration recovery) const
{
    auto const now = this->context.now();
    auto const outage = this->context.platform_contact.last_outage().value_or(PlatformContact::Outage { now, now });
    return { outage.began, now + recovery, outage.last_failure + recovery };
}

void BackendList::handle_platform_recovery(Duration recovery)
{
    this->handle_recovery_of_reader(this->recovery_from_now(recovery));
}

void BackendList::handle_recovery_of_reader(Recovery const& recovery)
{
    auto const& current = this->last_recovery;
    bool const is_first = !current || this->context.now() >= current->ends_at;
    if (is_first) {
        this->last_recovery = recovery;
        return;
    }
    this->last_recovery = Recovery { std::min(current->outage_began, recovery.outage_began),
        std::max(current->ends_at, recovery.ends_at),
        std::max(current->ends_for_own_domain_at, recovery.ends_for_own_domain_at) };
}

std::optional<BackendList::Recovery> BackendList::recovery() const
{
    if (this->context.platform_contact.is_in_outage())
        return this->recovery_from_now(this->context.settings.list_recovery_time);
    bool const is_over = !this->last_recovery || this->context.now() >= this->last_recovery->ends_at;
    return is_over ? std::nullopt : this->last_recovery;
}

void BackendList::tick()
{
    auto now = this->context.now();
    this->context.backends.expire_removed(now);
    while (true) {
        auto due = std::ranges::find_if(this->deferred_removals,
            [&](auto const& removal) { return this->is_due(removal.first, removal.second, now); });
        if (due == this->deferred_removals.end())
            return;
        auto id = due->first;
        this->deferred_removals.erase(due);
        this->remove_now(id);
    }
}

}
