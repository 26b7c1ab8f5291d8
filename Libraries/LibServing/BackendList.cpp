/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendList.h>
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
    auto now = this->context.now();
    if (now >= this->recovery_ends_at)
        return this->remove_now(id);
    this->deferred_removals.try_emplace(id, this->recovery_ends_at);
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

void BackendList::handle_platform_recovery(Duration recovery)
{
    this->recovery_ends_at = std::max(this->recovery_ends_at, this->context.now() + recovery);
}

Duration BackendList::recovery_left() const
{
    return std::max<Duration>(0s, this->recovery_ends_at - this->context.now());
}

void BackendList::tick()
{
    auto now = this->context.now();
    this->context.backends.expire_removed(now);
    while (true) {
        auto due
            = std::ranges::find_if(this->deferred_removals, [&](auto const& removal) { return removal.second <= now; });
        if (due == this->deferred_removals.end())
            return;
        auto id = due->first;
        this->deferred_removals.erase(due);
        this->remove_now(id);
    }
}

}
