/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/Types.h>
#include <LibOverload/EnginePace.h>
#include <LibOverload/SampledQuantile.h>
#include <LibOverload/Slowness.h>
#include <LibRollout/Rollout.h>
#include <LibServing/EngineLoad.h>
#include <LibServing/RecentCount.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace Serving {

/// Whether a backend server accepts new work.
enum class Availability : u8 {
    Serving,
    /// Accepts no new work. Running requests continue until they finish or the process terminates.
    Leaving,
    /// Removed from the platform's list.
    Removed,
};

std::string_view to_string(Availability);

/// The description of a backend server that it registers with the platform.
struct BackendServer {
    EngineId id;
    ServerStart start;
    ServiceName service;
    Address address;
    FailureDomainId failure_domain;
    u32 slots { 1 };
    bool is_leaving { false };
    /// Remaining warm-up time, after the start or after the server has become cold again.
    Duration warm_up_left { 0 };
    SoftwareVersion version {};

    bool operator==(BackendServer const&) const = default;
};

/// Requests per second.
using RequestRate = AK::StrongType<struct RequestRateTag, double>;

/// The number of requests at a backend server, as reported by that server.
struct LoadReport {
    u32 running { 0 };
    u32 waiting { 0 };
    u32 slots { 0 };
    /// Empty if the server does not report it.
    std::optional<Overload::Slowness> slowness {};
    /// The server reports a slowness that is not credible.
    bool has_invalid_slowness { false };
};

/// The health of a backend server, derived from the results of requests.
struct Health {
    /// Moving average of the share of requests that failed because of the server.
    double failure_share { 0 };
    u32 consecutive_failures { 0 };
    Instant avoid_until {};
    /// Time of the last failed connection attempt; empty after a success.
    std::optional<Instant> unreachable_at;
    /// Refusals (responses saying that a request was not run) to this host or to others since this host's last success.
    u32 consecutive_refusals { 0 };
    /// The server is avoided until this time because of its refusals.
    Instant refusal_avoidance_until {};
    /// For each host that could not connect to the server: the time until which that host avoids it.
    std::map<MemberId, Instant> peer_avoidance;
};

/// A backend server and this host's view of its state. Flows keep the object alive after its removal from the table.
struct Backend {
    BackendServer server;
    Http::tcp::endpoint endpoint;
    Availability availability { Availability::Serving };
    Instant available_since {};
    /// Expected termination time of the process, if known.
    std::optional<Instant> ends_at;
    /// The entry in the platform's list is currently invalid. Running requests continue, but the server gets no new
    /// work.
    bool has_unusable_entry { false };
    /// Another process responds at the server's address, so the server's process has terminated although the platform
    /// still lists it.
    bool has_terminated { false };
    /// The operator has evacuated the server's failure domain. Running requests continue.
    bool is_evacuated { false };
    /// The region of its failure domain; empty if it is not known.
    RegionId region;
    /// Its side in the roll-out of its service; empty while there is none.
    std::optional<Rollout::Side> rollout_side;
    u32 in_flight { 0 };
    /// End of the warm-up time that the server last reported. Until then it can handle only few requests.
    Instant cold_until {};
    /// Requests that this host has sent, kept for as long as the server's limits need them.
    RecentCount sent;
    std::optional<LoadReport> load;
    Instant load_received_at {};
    /// Its speed, if it is an engine.
    Overload::EnginePace pace;
    /// The slowness that it has reported to this host. Servers of one service may be of lastingly different speed, and
    /// report it like a momentary slowness.
    Overload::UsualValue reported_slowness;
    /// Its present slowness relative to its lasting speed, as reported by itself or derived from its streams; empty if
    /// neither is known.
    std::optional<Overload::SlownessReading> slowness;
    /// The rate that the server accepts from all hosts together, as it last reported; empty if it reported no limit.
    std::optional<RequestRate> limit;
    /// When the server reported the limit, to this host or to another one; empty if it has never reported one.
    std::optional<Instant> limit_reported_at;
    /// Whether the server reported the limit to this host.
    bool limit_is_first_hand { false };
    /// When this host last announced the limit to the other hosts.
    Instant limit_announced_at {};
    /// End of the back-off that the server has requested from this host; the latest one if there were several.
    Instant back_off_until {};
    /// The server's process has announced, to this host or to another one, that it is leaving. This is final.
    bool has_announced_leaving { false };
    Health health;
    EngineLoad engine;

    /// Whether new work may be sent to the server, apart from a back-off.
    [[nodiscard]] bool takes_work() const
    {
        return this->availability == Availability::Serving && !this->has_unusable_entry && !this->has_terminated
            && !this->is_evacuated;
    }
    /// Whether new work may be sent to the server at `now`.
    [[nodiscard]] bool takes_work_at(Instant now) const { return this->takes_work() && now >= this->back_off_until; }
    [[nodiscard]] Duration cold_left(Instant now) const { return std::max<Duration>(0s, this->cold_until - now); }
    [[nodiscard]] Duration back_off_left(Instant now) const
    {
        return std::max<Duration>(0s, this->back_off_until - now);
    }
    /// Whether the server is avoided, because of this host's own failures or because several other hosts report that
    /// they cannot connect.
    [[nodiscard]] bool is_avoided(Instant now) const;
    /// Whether a message about the given start applies to this server. An unknown start (0) matches every start.
    [[nodiscard]] bool matches_start(ServerStart start) const
    {
        return start == this->server.start || start == ServerStart(0) || this->server.start == ServerStart(0);
    }

    /// The slowness that the server usually reports.
    [[nodiscard]] Overload::Slowness lasting_slowness() const
    {
        return Overload::Slowness(this->reported_slowness.value().value_or(Overload::usual_slowness.value()));
    }

    void record_leaving()
    {
        this->has_announced_leaving = true;
        if (this->availability == Availability::Serving)
            this->availability = Availability::Leaving;
    }

    /// Called when a later process with the same id proves that this process has terminated: its running requests are
    /// lost.
    using TerminationObserver = std::function<void()>;
    /// The observer is registered for as long as the returned token lives.
    [[nodiscard]] std::shared_ptr<TerminationObserver> observe_termination(TerminationObserver);
    void notify_termination();

private:
    std::vector<std::weak_ptr<TerminationObserver>> termination_observers;
};

using BackendPointer = std::shared_ptr<Backend>;

/// The backend servers known to this host, indexed by id and by service.
class BackendTable {
public:
    BackendTable() = default;
    explicit BackendTable(std::map<FailureDomainId, RegionId> regions, std::map<Address, Address> forwarders = {})
        : regions(std::move(regions))
        , forwarders(std::move(forwarders))
    {
    }

    /// Applies an entry of the platform's list. Returns the changed backend server, or null if nothing changed, if the
    /// address is invalid, or if a later start with this id is known. A later start replaces the earlier one and does
    /// not inherit any of its state.
    BackendPointer update(BackendServer const&, Instant now);
    /// Removes a backend server that is no longer on the list. Returns it if it was known.
    BackendPointer remove(EngineId const&, Instant now);

    /// Saves the state that a removed backend server has reported itself, since its entry may be added again.
    void keep_reported_state(Backend const&, Instant now);

    /// Marks the current and future backend servers of a failure domain as evacuated by the operator, or clears the
    /// mark.
    void set_evacuated(FailureDomainId const&, bool is_evacuated);
    /// Sets the version to which the operator moves the service's traffic, which divides its backend servers into two
    /// sides. Empty if there is no roll-out.
    void set_target_version(ServiceName const&, std::optional<SoftwareVersion> const&);
    /// Whether a listed backend server of the service is on this side.
    [[nodiscard]] bool has_side(ServiceName const&, Rollout::Side) const;

    /// Number of listed backend servers in this failure domain.
    [[nodiscard]] size_t count_in(FailureDomainId const&) const;

    /// Returns null if the id is not on the list.
    [[nodiscard]] BackendPointer find(EngineId const&) const;
    /// Returns a backend server that is on the list or was removed so recently that it may still run; null otherwise.
    [[nodiscard]] BackendPointer find_running(EngineId const&) const;
    /// All backend servers that `find_running` can return.
    [[nodiscard]] std::vector<BackendPointer> running() const;
    /// Calls `visit` with each of them. It must not change the table.
    template<typename Visit>
    void for_each_running(Visit visit) const
    {
        for (auto const& [id, backend] : this->by_id)
            visit(backend);
        for (auto const& [id, entry] : this->recently_removed) {
            if (!this->by_id.contains(id))
                visit(entry.backend);
        }
    }
    /// Drops removed backend servers that can no longer be running, and expired reported states.
    void expire_removed(Instant now);
    [[nodiscard]] std::vector<BackendPointer> const& of_service(ServiceName const&) const;
    [[nodiscard]] std::unordered_map<EngineId, BackendPointer> const& all() const { return this->by_id; }

private:
    [[nodiscard]] ServerStart latest_start_of(EngineId const&) const;
    /// The address to which this host connects in order to reach a server.
    [[nodiscard]] Address const& connected_address(Address const& server) const;

    struct RemovedBackend {
        BackendPointer backend;
        Instant at {};
    };
    /// The state that a process has reported itself. It outlives the process's entry in the list.
    struct ReportedState {
        ServerStart start;
        Instant back_off_until {};
        bool has_announced_leaving { false };
        Instant kept_until {};
    };
    void restore_reported_state(Backend&) const;
    [[nodiscard]] std::optional<Rollout::Side> side_of(BackendServer const&) const;

    std::map<FailureDomainId, RegionId> regions;
    std::map<Address, Address> forwarders;
    std::set<FailureDomainId> evacuated;
    std::unordered_map<ServiceName, SoftwareVersion> target_versions;
    std::unordered_map<EngineId, BackendPointer> by_id;
    std::unordered_map<EngineId, RemovedBackend> recently_removed;
    std::unordered_map<EngineId, ReportedState> reported_states;
    std::unordered_map<ServiceName, std::vector<BackendPointer>> by_service;
};

/// The shortest remaining back-off among the candidates that accept work; empty if none has requested a back-off.
std::optional<Duration> min_back_off(std::span<BackendPointer const>, Instant now);

void record_success(Backend&);
/// Records that the backend server accepts connections, which ends its avoidance for failed ones.
void record_connection(Backend&);
/// Records a failed request. `is_unreachable` means that the request could not be sent at all, which weighs more than a
/// failed response. Returns how long the backend server is avoided.
Duration record_failure(Backend&, Instant now, bool is_unreachable);

}
