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

/// Tracks the requests during which backend servers terminated, and quarantines a request once several servers have:
/// sending it again would terminate another server, with everything that runs there. A request is cleared once it has
/// run to completion. A request that merely ran beside the quarantined one is cleared of the same terminations.
///
/// The same holds for parts of prompts, which many different requests share. A part is suspected only if the request
/// had received no event yet, and is cleared by the first event of any request that has it. If a request and parts of
/// its prompt are suspected of the same terminations, only the most specific of them is quarantined, so that requests
/// that share the others are served.
///
/// The state of several hosts is merged as sets of processes, so reports may be repeated, late or in any order.
class Quarantine {
public:
    /// A server may terminate for other reasons at any time, and at most one of the requests that ran there is the
    /// cause. Several terminations are therefore required.
    static constexpr size_t terminations_until_quarantine = 3;
    /// How long a request is quarantined, and how long a suspected one is remembered, from its last termination on. A
    /// quarantined request cannot run, so it cannot show that it has become harmless. It is therefore allowed again
    /// after this time.
    static constexpr Duration retention_time = 1h;

    struct Entry {
        /// Processes that terminated while running the request.
        std::set<ServerProcess> terminated_under;
        /// Empty while the request is not quarantined.
        std::optional<Instant> held_until;
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

    /// Records that `process` terminated unexpectedly while it ran the request, as seen by this host.
    Change record_termination(RequestFingerprint const&, ServerProcess const& process, Instant now);
    /// Merges the state of another host: these processes terminated while they ran the request, which is quarantined
    /// for another `held_for`, or not quarantined if that is zero.
    Change merge(RequestFingerprint const&, std::set<ServerProcess> const& terminated, Duration held_for, Instant now);
    /// Clears a request that has run to completion on any host, or a prompt part of a request that has received an
    /// event. Returns whether it was suspected or quarantined.
    bool clear(RequestFingerprint const&, Instant now);
    [[nodiscard]] bool is_recently_cleared(RequestFingerprint const&, Instant now) const;
    /// Returns the remaining time of the quarantine, or nothing if the request is not quarantined.
    [[nodiscard]] std::optional<Duration> held_for(RequestFingerprint const&, Instant now) const;
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
    void attribute_to(RequestFingerprint const& held);
    void evict_if_full(OrganisationId const&);
    void evict_oldest(std::optional<OrganisationId> const& of);

    Entries entries;
    std::map<OrganisationId, size_t> count_of_organisation;
    std::map<RequestFingerprint, Instant> cleared_until;
    std::deque<std::pair<Instant, RequestFingerprint>> cleared_order;
    u64 evicted_total { 0 };
};

}
