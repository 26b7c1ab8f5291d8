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

/// Requests under which backend servers have ended, and those that are held back because several have: whoever sends
/// one again would end a further server, with all that runs there. A request that has run to its end is innocent. So is
/// one that merely ran beside the request that is held back for the same end.
///
/// What hosts know is put together as sets of processes, so words that come twice, late or in any order do no harm.
class Quarantine {
public:
    /// A server may end at any time, and of all requests that ran there one is guilty at most.
    static constexpr size_t terminations_until_quarantine = 3;
    /// From its last end on. A request that is held back cannot show that it has become harmless, so it may try again.
    static constexpr Duration retention_time = 1h;

    struct Entry {
        std::set<ServerProcess> terminated_under;
        /// Nothing while it is not held back.
        std::optional<Instant> held_until;
        Instant changed_at {};
    };
    using Entries = std::map<RequestFingerprint, Entry>;

    enum class Change : u8 {
        Nothing,
        /// More is known of a request that is not held back.
        Suspected,
        /// It is held back from now on.
        Held,
    };

    /// This host has seen `process` end under the request, and did not expect it.
    Change record_termination(RequestFingerprint const&, ServerProcess const& process, Instant now);
    /// Another host knows that these processes have ended under the request, and holds it back for so long.
    Change merge(RequestFingerprint const&, std::set<ServerProcess> const& terminated, Duration held_for, Instant now);
    /// The request has run to its end somewhere. Answers whether it was suspected or held back.
    bool clear(RequestFingerprint const&, Instant now);
    /// For how much longer the request is held back; nothing if it is not.
    [[nodiscard]] std::optional<Duration> held_for(RequestFingerprint const&, Instant now) const;
    /// Lets go of what is remembered no longer. Answers what was held back.
    std::vector<RequestFingerprint> forget_expired(Instant now);

    [[nodiscard]] Entries const& all() const { return this->entries; }
    /// Entries that were let go because their organisation, or all together, had too many.
    [[nodiscard]] u64 dropped() const { return this->evicted_total; }

private:
    /// One organisation's flood pushes out its own entries only.
    static constexpr size_t max_entries_per_organisation = 64;
    /// Half a kilobyte each at most.
    static constexpr size_t max_entries = 2048;
    /// A process that ended beside these tells nothing new of the request.
    static constexpr size_t max_processes = 16;
    /// A request that is sent by many callers at once is on several servers when they crash together; one of its runs
    /// that has ended well lately shows that it is not the cause.
    static constexpr Duration clearance_lifetime = 1min;
    static constexpr size_t max_cleared = 4096;

    [[nodiscard]] bool is_recently_cleared(RequestFingerprint const&, Instant now) const;
    [[nodiscard]] bool is_attributed(ServerProcess const&) const;
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
