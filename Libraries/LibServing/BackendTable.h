/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/Types.h>
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

/// What may be given to a backend server.
enum class Availability : u8 {
    Serving,
    /// Takes no new work; what runs there goes on until it ends.
    Leaving,
    Gone,
};

std::string_view to_string(Availability);

/// A backend server as it describes itself to the platform.
struct BackendServer {
    EngineId id;
    ServerStart start;
    ServiceName service;
    Address address;
    FailureDomainId failure_domain;
    u32 slots { 1 };
    bool is_leaving { false };
    /// How much longer it is cold, after its start or because it has become so again.
    Duration warm_up_left { 0 };

    bool operator==(BackendServer const&) const = default;
};

/// Requests in a second.
using RequestRate = AK::StrongType<struct RequestRateTag, double>;

/// Requests at a backend server, by its own word.
struct LoadReport {
    u32 running { 0 };
    u32 waiting { 0 };
    u32 slots { 0 };
};

/// What requests have shown of a backend server.
struct Health {
    /// Share of the latest requests that failed by its fault, as a moving average.
    double failure_share { 0 };
    u32 consecutive_failures { 0 };
    Instant avoid_until {};
    /// When the last connection could not be made; nothing after a success.
    std::optional<Instant> unreachable_at;
    /// Answers that it had not run a request, its own or to other hosts, since its last success here.
    u32 consecutive_refusals { 0 };
    /// Until when it is avoided for them.
    Instant refusal_avoidance_until {};
    /// Until when other hosts avoid it, because they could not connect to it.
    std::map<MemberId, Instant> peer_avoidance;
};

/// One backend server and what this host believes of it. Flows keep it alive past its removal.
struct Backend {
    BackendServer server;
    Http::tcp::endpoint endpoint;
    Availability availability { Availability::Serving };
    Instant available_since {};
    /// When the process ends, as far as it is known.
    std::optional<Instant> ends_at;
    /// Its entry in the platform's list cannot be used just now. What runs there goes on; nothing new is given to it.
    bool has_unusable_entry { false };
    /// Another process answers where it was, so its own has ended, though the platform still lists it.
    bool has_terminated { false };
    /// The operator wants nothing sent to its failure domain. What runs there goes on.
    bool is_evacuated { false };
    u32 in_flight { 0 };
    /// Until when it is cold and bears but few requests, by its own last word.
    Instant cold_until {};
    /// Requests of this host, for as long as bounds of the server need them.
    RecentCount sent;
    std::optional<LoadReport> load;
    Instant load_received_at {};
    /// What it takes from all hosts together, by its own last word; nothing while it names no limit.
    std::optional<RequestRate> limit;
    /// When it said so, to this host or another one; nothing if it has never named one.
    std::optional<Instant> limit_reported_at;
    /// Whether it said so to this host.
    bool limit_is_first_hand { false };
    Instant limit_announced_at {};
    /// Until when it wants no requests of this host; the latest end that it has asked for.
    Instant back_off_until {};
    /// Its process has said itself that it leaves, to this host or another one: no later word takes that back.
    bool has_announced_leaving { false };
    Health health;
    EngineLoad engine;

    /// Whether new work may be given to it at all.
    [[nodiscard]] bool takes_work() const
    {
        return this->availability == Availability::Serving && !this->has_unusable_entry && !this->has_terminated
            && !this->is_evacuated;
    }
    /// Whether new work may be sent to it now.
    [[nodiscard]] bool takes_work_at(Instant now) const { return this->takes_work() && now >= this->back_off_until; }
    [[nodiscard]] Duration cold_left(Instant now) const { return std::max<Duration>(0s, this->cold_until - now); }
    [[nodiscard]] Duration back_off_left(Instant now) const
    {
        return std::max<Duration>(0s, this->back_off_until - now);
    }
    /// By what this host has seen itself, or by the word of several others.
    [[nodiscard]] bool is_avoided(Instant now) const;
    /// Whether word of the server that started then is about this one. Who does not know the start means any.
    [[nodiscard]] bool matches_start(ServerStart start) const
    {
        return start == this->server.start || start == ServerStart(0) || this->server.start == ServerStart(0);
    }

    void record_leaving()
    {
        this->has_announced_leaving = true;
        if (this->availability == Availability::Serving)
            this->availability = Availability::Leaving;
    }

    /// Told when this process is known to have ended because a later one has its id: what it had under way is lost.
    using TerminationObserver = std::function<void()>;
    /// The observer is forgotten with the token that is answered.
    [[nodiscard]] std::shared_ptr<TerminationObserver> observe_termination(TerminationObserver);
    void notify_termination();

private:
    std::vector<std::weak_ptr<TerminationObserver>> termination_observers;
};

using BackendPointer = std::shared_ptr<Backend>;

/// The backend servers that this host knows, by service.
class BackendTable {
public:
    /// Takes in what the platform says of one; answers what changed, or null when nothing did, when its address cannot
    /// be read, or when a later start under its id is known. A later start takes the place of the former one, which is
    /// gone; nothing that was believed of that one holds for it.
    BackendPointer update(BackendServer const&, Instant now);
    /// It is off the list. Answers the entry if it was known.
    BackendPointer remove(EngineId const&, Instant now);

    /// Keeps what one that is off the list has said of itself, for its entry may come back.
    void keep_reported_state(Backend const&, Instant now);

    /// Whether the operator wants nothing sent to the backend servers of a failure domain, those that are still to come
    /// among them.
    void set_evacuated(FailureDomainId const&, bool is_evacuated);
    /// Backend servers on the list that are in this failure domain.
    [[nodiscard]] size_t count_in(FailureDomainId const&) const;

    /// Null when it is not on the list.
    [[nodiscard]] BackendPointer find(EngineId const&) const;
    /// On the list, or off it so lately that it may still run. Null for others.
    [[nodiscard]] BackendPointer find_running(EngineId const&) const;
    /// All of those.
    [[nodiscard]] std::vector<BackendPointer> running() const;
    /// Lets go of those that cannot run any more.
    void expire_removed(Instant now);
    [[nodiscard]] std::vector<BackendPointer> const& of_service(ServiceName const&) const;
    [[nodiscard]] std::unordered_map<EngineId, BackendPointer> const& all() const { return this->by_id; }

private:
    [[nodiscard]] ServerStart latest_start_of(EngineId const&) const;

    struct RemovedBackend {
        BackendPointer backend;
        Instant at {};
    };
    /// What a process has said of itself. It holds though its entry comes and goes.
    struct ReportedState {
        ServerStart start;
        Instant back_off_until {};
        bool has_announced_leaving { false };
        Instant kept_until {};
    };
    void restore_reported_state(Backend&) const;

    std::set<FailureDomainId> evacuated;
    std::unordered_map<EngineId, BackendPointer> by_id;
    std::unordered_map<EngineId, RemovedBackend> recently_removed;
    std::unordered_map<EngineId, ReportedState> reported_states;
    std::unordered_map<ServiceName, std::vector<BackendPointer>> by_service;
};

/// Until the first of those that would take work has no more back-off asked for; nothing when none has asked.
std::optional<Duration> min_back_off(std::span<BackendPointer const>, Instant now);

void record_success(Backend&);
/// `is_unreachable` when no request could be handed over, which says more than one failed answer. Answers for how
/// long the backend server is avoided.
Duration record_failure(Backend&, Instant now, bool is_unreachable);

}
