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

/// Weight of the newest request in the moving average of failures: the average covers about twenty requests, which a
/// host sends to one backend server in about two seconds.
static constexpr double newest_request_weight = 0.05;
/// How long a backend server is avoided after one failed connection; doubles with each further failure.
static constexpr Duration initial_avoidance = 250ms;
static constexpr Duration max_avoidance = 2s;
/// Consecutive failed responses after which a reachable backend server is avoided as well.
static constexpr u32 max_tolerated_failures = 3;

/// Number of hosts that must report failed connections before a backend server is avoided: a single host may itself be
/// partitioned.
static constexpr i64 min_reporting_hosts = 2;

/// A backend server may be removed from the list without notice. It then keeps running for about as long as one that
/// announces that it is leaving, and sometimes for some seconds more.
static constexpr Duration max_run_time_after_removal = 5s;

/// How long a process that has announced that it is leaving may still run after its removal from the list.
static constexpr Duration leaving_retention = 1h;

std::string_view to_string(Availability availability)
{
    switch (availability) {
    case Availability::Serving:
        return "serving";
    case Availability::Leaving:
        return "leaving";
    case Availability::Removed:
        return "gone";
    }
    VERIFY(false);
}

Address const& BackendTable::connected_address(Address const& server) const
{
    auto const forwarder = this->forwarders.find(server);
    return forwarder == this->forwarders.end() ? server : forwarder->second;
}

BackendPointer BackendTable::update(BackendServer const& entry, Instant now)
{
    auto endpoint = Http::parse_endpoint(this->connected_address(entry.address).value());
    if (!endpoint)
        return nullptr;
    auto server = entry;
    auto known = this->find(server.id);
    // An entry without a start refers to the known start, and may mark it as leaving.
    if (known && server.start == ServerStart(0))
        server.start = known->server.start;
    if (server.start < this->latest_start_of(server.id))
        return nullptr;
    if (known && known->server == server)
        return nullptr;
    bool const is_replaced = known && (known->server.service != server.service || known->server.start < server.start);
    if (is_replaced) {
        this->remove(server.id, now);
        known = nullptr;
    }
    // The earlier process with this id has terminated and need not be polled any more.
    if (auto former = this->recently_removed.find(server.id);
        former != this->recently_removed.end() && former->second.backend->server.start < server.start)
        this->recently_removed.erase(former);
    if (!known) {
        known = std::make_shared<Backend>();
        known->available_since = now;
        this->by_id[server.id] = known;
        this->by_service[server.service].push_back(known);
    }
    // At another address the server may still be running.
    known->has_terminated = known->has_terminated && known->server.address == server.address;
    known->server = server;
    known->endpoint = *endpoint;
    known->cold_until = now + server.warm_up_left;
    known->is_evacuated = this->evacuated.contains(server.failure_domain);
    auto const region = this->regions.find(server.failure_domain);
    known->region = region == this->regions.end() ? RegionId() : region->second;
    known->rollout_side = this->side_of(server);
    this->restore_reported_state(*known);
    // Leaving is final: an outdated list must not make the backend server available again.
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
    entry->availability = Availability::Removed;
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
    auto saved = this->reported_states.find(backend.server.id);
    if (saved == this->reported_states.end() || !backend.matches_start(saved->second.start))
        return;
    backend.back_off_until = std::max(backend.back_off_until, saved->second.back_off_until);
    if (saved->second.has_announced_leaving)
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

std::optional<Rollout::Side> BackendTable::side_of(BackendServer const& server) const
{
    auto target = this->target_versions.find(server.service);
    if (target == this->target_versions.end())
        return {};
    return server.version == target->second ? Rollout::Side::Target : Rollout::Side::Former;
}

void BackendTable::set_target_version(ServiceName const& service, std::optional<SoftwareVersion> const& target)
{
    if (target)
        this->target_versions[service] = *target;
    else
        this->target_versions.erase(service);
    for (auto const& backend : this->running()) {
        if (backend->server.service == service)
            backend->rollout_side = this->side_of(backend->server);
    }
}

bool BackendTable::has_side(ServiceName const& service, Rollout::Side side) const
{
    return std::ranges::any_of(
        this->of_service(service), [side](auto const& backend) { return backend->rollout_side == side; });
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
    this->for_each_running([&](BackendPointer const& backend) { all.push_back(backend); });
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
    // An observer may register further observers with this or another backend server.
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
    auto reporting_hosts
        = std::ranges::count_if(this->health.peer_avoidance, [now](auto const& report) { return now < report.second; });
    return reporting_hosts >= min_reporting_hosts;
}

std::optional<Duration> min_back_off(std::span<BackendPointer const> candidates, Instant now)
{
    std::optional<Duration> min_left;
    for (auto const& candidate : candidates) {
        auto const left = candidate->back_off_left(now);
        if (candidate->takes_work() && left > 0s)
            min_left = std::min(min_left.value_or(left), left);
    }
    return min_left;
}

void record_connection(Backend& backend)
{
    if (!backend.health.unreachable_at)
        return;
    backend.health.peer_avoidance.clear();
    backend.health.avoid_until = {};
    backend.health.unreachable_at = {};
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
    auto counted = is_unreachable                              ? health.consecutive_failures
        : health.consecutive_failures > max_tolerated_failures ? health.consecutive_failures - max_tolerated_failures
                                                               : 0;
    if (counted == 0)
        return 0s;
    auto avoidance = std::min(max_avoidance, initial_avoidance * (1 << std::min(counted - 1, 4U)));
    health.avoid_until = now + avoidance;
    return avoidance;
}

}
