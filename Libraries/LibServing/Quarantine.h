/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/RequestFingerprint.h>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Serving {

/// One process of a backend server.
struct ServerProcess {
    EngineId server;
    ServerStart start;

    auto operator<=>(ServerProcess const&) const = default;
};

/// A run that ended with the process of its server.
struct InterruptedRun {
    /// When the request was sent to the server.
    Instant began {};
    /// When a host noticed the termination.
    Instant ended {};

    bool operator==(InterruptedRun const&) const = default;
};

/// Processes that terminated while they ran a request, with the run of the request there.
using Terminations = std::map<ServerProcess, InterruptedRun>;

/// Number of independent events in which these processes terminated. Processes that terminated almost at once, under
/// runs that were in progress together, may have one common cause outside the request, such as a power failure. A run
/// that began after an earlier termination is independent of it.
[[nodiscard]] size_t count_events(Terminations const&);

/// Tracks the requests during which backend servers terminated, and quarantines a request once several servers have:
/// sending it again would terminate another server, with everything that runs there. A request is cleared once it has
/// run to completion. A request that merely ran beside the quarantined one is cleared of the same terminations.
///
/// The same holds for parts of prompts, which many different requests share. A part is suspected only if the request
/// had received no event yet, and is cleared by the first event of any request that has it. If a request and parts of
/// its prompt are suspected of the same terminations, only the most specific of them is quarantined, so that requests
/// that share the others are served.
///
/// A quarantined part costs all requests that share it, and none of them can show that it is harmless. So a single
/// request with the part is tried after a pause: its first event clears the part at all hosts, and if its server
/// terminates too, the pause grows.
///
/// The state of several hosts is merged as sets of processes, so reports may be repeated, late or in any order.
class Quarantine {
public:
    /// A server may terminate for other reasons at any time, and at most one of the requests that ran there is the
    /// cause. Several independent terminations are therefore required.
    static constexpr size_t terminations_until_quarantine = 3;
    /// Pause before the first request with a quarantined part is tried. Longer than callers take to give up and than
    /// servers take to come back after a common failure.
    static constexpr Duration first_trial_pause = 10s;
    /// A wrong trial costs the runs of one server, so trials that fail become rare.
    static constexpr int trial_pause_growth = 4;
    /// How long a request is quarantined, and how long a suspected one is remembered, from its last termination on. A
    /// whole request that is quarantined is not tried before: it has been tried several times, and only its own caller
    /// misses it.
    static constexpr Duration retention_time = 1h;

    struct Entry {
        /// Processes that terminated while running the request.
        Terminations terminated_under;
        /// Empty while the request is not quarantined.
        std::optional<Instant> held_until;
        Instant held_since {};
        /// Of a quarantined part: when the next request with it may be tried, and the pause before the one after it.
        Instant next_trial_at {};
        Duration trial_pause { 0 };
        Instant changed_at {};
    };
    using Entries = std::map<RequestFingerprint, Entry>;

    enum class Change : u8 {
        Nothing,
        /// There is new evidence against a request that is not quarantined.
        Suspected,
        /// The request is quarantined from now on.
        Held,
    };

    /// How much later than others this host tries a request with a quarantined part, so that they do not try at once.
    void set_trial_offset(Duration offset) { this->trial_offset = offset; }

    /// Records that `process` terminated unexpectedly during this run of the request, as seen by this host.
    Change record_termination(
        RequestFingerprint const&, ServerProcess const& process, InterruptedRun const&, Instant now);
    /// Merges the state of another host: these processes terminated while they ran the request, which is quarantined
    /// for another `held_for`, or not quarantined if that is zero.
    Change merge(RequestFingerprint const&, Terminations const& terminated, Duration held_for, Instant now);
    /// Another host tries no request with the quarantined part before `pause` is over.
    void postpone_trial(RequestFingerprint const& part, Duration pause, Instant now);
    /// A request with this part is tried now, so that no other one is before the next pause is over. Returns false if
    /// the part is not quarantined.
    bool begin_trial(RequestFingerprint const& part, Instant now);
    /// Clears a request that has run to completion on any host, or a prompt part of a request that has received an
    /// event. Returns whether it was suspected or quarantined.
    bool clear(RequestFingerprint const&, Instant now);
    [[nodiscard]] bool is_recently_cleared(RequestFingerprint const&, Instant now) const;
    /// Returns the remaining time of the quarantine, or nothing if the request is not quarantined.
    [[nodiscard]] std::optional<Duration> held_for(RequestFingerprint const&, Instant now) const;
    /// Returns how long no request with this fingerprint may be dispatched, or nothing if one may be. That is the rest
    /// of the quarantine for a whole request, and the time until the next trial for a part.
    [[nodiscard]] std::optional<Duration> refused_for(RequestFingerprint const&, Instant now) const;
    /// Time until the next trial of a quarantined part, on any host; zero if one may begin, and for other fingerprints.
    [[nodiscard]] Duration trial_in(RequestFingerprint const&, Instant now) const;
    /// Removes expired entries. Returns the requests among them that were quarantined.
    std::vector<RequestFingerprint> forget_expired(Instant now);

    [[nodiscard]] Entries const& all() const { return this->entries; }
    /// Number of entries evicted because their organisation, or all organisations together, had too many.
    [[nodiscard]] u64 dropped() const { return this->evicted_total; }

private:
    /// A flood of requests of one organisation evicts only entries of that organisation.
    static constexpr size_t max_entries_per_organisation = 64;
    /// An entry takes half a kilobyte at most.
    static constexpr size_t max_entries = 2048;
    /// Further processes would add no evidence against the request.
    static constexpr size_t max_processes = 16;
    /// A request that many callers send at once runs on several servers when they crash together. A recent run that
    /// completed shows that the request is not the cause.
    static constexpr Duration clearance_lifetime = 1min;
    /// Parts that many requests share are cleared all the time, and rarer ones often enough if they are harmless.
    static constexpr Duration part_clearance_lifetime = 10s;
    static constexpr size_t max_cleared = 4096;
    /// A part may be quarantined although a more specific one explains most of its terminations: that one may merely
    /// come with it often.
    static constexpr size_t min_unexplained_terminations = 2;

    [[nodiscard]] bool is_attributed(ServerProcess const&, RequestFingerprint const& suspect) const;
    [[nodiscard]] bool has_enough_terminations(RequestFingerprint const&, Entry const&) const;
    void record_cleared(RequestFingerprint const&, Instant now);
    static void grow_trial_pause(Entry&, Terminations const& new_terminations, Instant now);
    void attribute_to(RequestFingerprint const& held);
    void evict_if_full(OrganisationId const&);
    void evict_oldest(std::optional<OrganisationId> const& of);

    Entries entries;
    std::map<OrganisationId, size_t> count_of_organisation;
    std::map<RequestFingerprint, Instant> cleared_until;
    std::deque<std::pair<Instant, RequestFingerprint>> cleared_order;
    u64 evicted_total { 0 };
    Duration trial_offset { 0 };
};

}
