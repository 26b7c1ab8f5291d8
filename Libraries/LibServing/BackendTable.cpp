/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/BackendTable.h>
#include <algorithm>
#include <utility>

namespace Serving {

/// Weight of the newest request in the moving share of failures: some twenty requests count, about two seconds of one
/// backend server's share on a host.
static constexpr double newest_request_weight = 0.05;
/// How long a backend server is avoided after one failed connection; doubles with each further one.
static constexpr Duration initial_avoidance = 250ms;
static constexpr Duration max_avoidance = 2s;
/// Failed answers in a row before a reachable backend server is avoided as well.
static constexpr u32 tolerated_failures_in_a_row = 3;

/// One host that cannot connect may itself be cut off; two that cannot are believed.
static constexpr i64 min_reporting_hosts = 2;

/// A backend server may go off the list without a word and run on for about as long as one that announces its end, and
/// at times some seconds more.
static constexpr Duration max_run_time_after_removal = 5s;

/// For how long a process that has said that it leaves can be about to end, though it is off the list.
static constexpr Duration leaving_retention = 1h;

std::string_view to_string(Availability availability)
{
    switch (availability) {
    case Availability::Serving:
        return "serving";
    case Availability::Leaving:
        return "leaving";
    case Availability::Gone:
        return "gone";
    }
    VERIFY(false);
}

BackendPointer BackendTable::update(BackendServer const& told, Instant now)
{
    auto endpoint = Http::parse_endpoint(told.address.value());
    if (!endpoint)
        return nullptr;
    auto server = told;
    auto known = this->find(server.id);
    // An entry that does not tell its start is about the one that is known: it may say that this one leaves.
    if (known && server.start == ServerStart(0))
        server.start = known->server.start;
    if (server.start < this->latest_start_of(server.id))
        return nullptr;
    if (known && known->server == server)
        return nullptr;
    bool const is_another = known && (known->server.service != server.service || known->server.start < server.start);
    if (is_another) {
        this->remove(server.id, now);
        known = nullptr;
    }
    // The process that had the id before has ended: there is nothing more to ask it.
    if (auto former = this->recently_removed.find(server.id);
        former != this->recently_removed.end() && former->second.backend->server.start < server.start)
        this->recently_removed.erase(former);
    if (!known) {
        known = std::make_shared<Backend>();
        known->available_since = now;
        this->by_id[server.id] = known;
        this->by_service[server.service].push_back(known);
    }
    // Elsewhere it may live on.
    known->has_terminated = known->has_terminated && known->server.address == server.address;
    known->server = server;
    known->endpoint = *endpoint;
    known->cold_until = now + server.warm_up_left;
    known->is_evacuated = this->evacuated.contains(server.failure_domain);
    this->restore_reported_state(*known);
    // Leaving is final: a list that is behind must not bring a backend server back.
    if (server.is_leaving && known->availability == Availability::Serving)
        known->availability = Availability::Leaving;
    return known;
}

BackendPointer BackendTable::remove(EngineId const& id, Instant now)
{
    auto found = this->by_id.find(id);
    if (found == this->by_id.end())
        return nullptr;
    auto entry = found->second;
    entry->availability = Availability::Gone;
    std::erase(this->by_service[entry->server.service], entry);
    this->by_id.erase(found);
    this->keep_reported_state(*entry, now);
    this->recently_removed[id] = { entry, now };
    return entry;
}

void BackendTable::keep_reported_state(Backend const& backend, Instant now)
{
    auto kept_until = backend.back_off_until;
    if (backend.has_announced_leaving)
        kept_until = std::max(kept_until, now + leaving_retention);
    if (now < kept_until)
        this->reported_states[backend.server.id]
            = { backend.server.start, backend.back_off_until, backend.has_announced_leaving, kept_until };
}

void BackendTable::restore_reported_state(Backend& backend) const
{
    auto kept = this->reported_states.find(backend.server.id);
    if (kept == this->reported_states.end() || !backend.matches_start(kept->second.start))
        return;
    backend.back_off_until = std::max(backend.back_off_until, kept->second.back_off_until);
    if (kept->second.has_announced_leaving)
        backend.record_leaving();
}

void BackendTable::set_evacuated(FailureDomainId const& domain, bool is_evacuated)
{
    if (is_evacuated)
        this->evacuated.insert(domain);
    else
        this->evacuated.erase(domain);
    for (auto const& backend : this->running()) {
        if (backend->server.failure_domain == domain)
            backend->is_evacuated = is_evacuated;
    }
}

size_t BackendTable::count_in(FailureDomainId const& domain) const
{
    return static_cast<size_t>(std::ranges::count_if(
        this->by_id, [&](auto const& entry) { return entry.second->server.failure_domain == domain; }));
}

ServerStart BackendTable::latest_start_of(EngineId const& id) const
{
    auto known = this->find_running(id);
    return known ? known->server.start : ServerStart(0);
}

BackendPointer BackendTable::find_running(EngineId const& id) const
{
    if (auto listed = this->find(id))
        return listed;
    auto found = this->recently_removed.find(id);
    return found == this->recently_removed.end() ? nullptr : found->second.backend;
}

std::vector<BackendPointer> BackendTable::running() const
{
    std::vector<BackendPointer> all;
    all.reserve(this->by_id.size() + this->recently_removed.size());
    for (auto const& [id, backend] : this->by_id)
        all.push_back(backend);
    for (auto const& [id, entry] : this->recently_removed) {
        if (!this->by_id.contains(id))
            all.push_back(entry.backend);
    }
    return all;
}

void BackendTable::expire_removed(Instant now)
{
    std::erase_if(this->recently_removed,
        [now](auto const& entry) { return now - entry.second.at > max_run_time_after_removal; });
    std::erase_if(this->reported_states, [now](auto const& entry) { return entry.second.kept_until <= now; });
}

BackendPointer BackendTable::find(EngineId const& id) const
{
    auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

std::vector<BackendPointer> const& BackendTable::of_service(ServiceName const& service) const
{
    static std::vector<BackendPointer> const none;
    auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

std::shared_ptr<Backend::TerminationObserver> Backend::observe_termination(TerminationObserver observer)
{
    std::erase_if(this->termination_observers, [](auto const& known) { return known.expired(); });
    auto token = std::make_shared<TerminationObserver>(std::move(observer));
    this->termination_observers.push_back(token);
    return token;
}

void Backend::notify_termination()
{
    // Observers may begin to observe this or another backend server.
    auto const observers = std::exchange(this->termination_observers, {});
    for (auto const& observer : observers) {
        if (auto held = observer.lock())
            (*held)();
    }
}

bool Backend::is_avoided(Instant now) const
{
    if (now < this->health.avoid_until || now < this->health.refusal_avoidance_until)
        return true;
    auto others
        = std::ranges::count_if(this->health.peer_avoidance, [now](auto const& told) { return now < told.second; });
    return others >= min_reporting_hosts;
}

std::optional<Duration> min_back_off(std::span<BackendPointer const> candidates, Instant now)
{
    std::optional<Duration> shortest;
    for (auto const& candidate : candidates) {
        auto const left = candidate->back_off_left(now);
        if (candidate->takes_work() && left > 0s)
            shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

void record_success(Backend& backend)
{
    backend.health.peer_avoidance.clear();
    backend.health.consecutive_failures = 0;
    backend.health.avoid_until = {};
    backend.health.consecutive_refusals = 0;
    backend.health.refusal_avoidance_until = {};
    backend.health.unreachable_at = {};
    backend.health.failure_share *= 1 - newest_request_weight;
}

Duration record_failure(Backend& backend, Instant now, bool is_unreachable)
{
    auto& health = backend.health;
    health.failure_share += (1 - health.failure_share) * newest_request_weight;
    ++health.consecutive_failures;
    if (is_unreachable)
        health.unreachable_at = now;
    auto counted = is_unreachable ? health.consecutive_failures
        : health.consecutive_failures > tolerated_failures_in_a_row
        ? health.consecutive_failures - tolerated_failures_in_a_row
        : 0;
    if (counted == 0)
        return 0s;
    auto avoidance = std::min(max_avoidance, initial_avoidance * (1 << std::min(counted - 1, 4U)));
    health.avoid_until = now + avoidance;
    return avoidance;
}

}
