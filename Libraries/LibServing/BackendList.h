/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <map>

namespace Serving {

/// Synchronises the table of backend servers with the platform's list. Entries expire on that list while the platform
/// is away or a failure domain is cut off from it, and running backend servers register again within a known time after
/// its recovery. A removal that is received within that time is therefore deferred until the time is over, unless a
/// host that had contact with the platform all the time reports so: then the fleet has seen the removal.
class BackendList {
public:
    struct Observer {
        /// A backend server was added to the table.
        std::function<void(BackendPointer const&)> on_added;
        /// A backend server is leaving, or was removed from the list.
        std::function<void(BackendPointer const&)> on_leaving;
    };

    /// A recovery from a period in which the platform did not answer the host that reads the list.
    struct Recovery {
        /// The last answer before that period.
        Instant outage_began {};
        /// Until when entries may come back that expired because the platform was away. It returned at the earliest
        /// just before its first answer.
        Instant ends_at {};
        /// The same for entries that expired because the failure domain was cut off. Its link returned at the earliest
        /// just after the last call that failed.
        Instant ends_for_own_domain_at {};
    };

    BackendList(ServingContext& context, Observer observer);

    /// Applies a snapshot of the whole list. `unusable` holds the ids of invalid entries.
    void apply_list(std::vector<BackendServer> const&, std::vector<EngineId> const& unusable = {});
    /// Applies an added or changed entry.
    void apply_entry(BackendServer const&);
    /// Sends the server no new work until a valid entry arrives, because its current entry is invalid. Running requests
    /// continue: an invalid entry may be another writer's mistake and says nothing about the server itself.
    void mark_unusable(EngineId const&);
    /// Removes the entry, or defers the removal while entries may still come back after a recovery of the platform.
    void handle_removal(EngineId const&);
    /// Handles an announcement, by another host or by the backend server itself, that the server with this start is
    /// leaving.
    void handle_leaving(EngineId const&, ServerStart, std::optional<Instant> ends_at);
    /// Another process responds at the server's address. The server gets no new work until the list has another start
    /// or address for it, or adds it again. Running requests are left to their connections: only a later start with the
    /// same id proves the termination.
    void handle_termination(EngineId const&, ServerStart, Address const&);
    /// The platform answers this host again; expired entries may come back within `recovery`.
    void handle_platform_recovery(Duration recovery);
    /// The host that has read the list is in a recovery.
    void handle_recovery_of_reader(Recovery const&);
    /// The recovery in progress, if any. While the platform does not answer this host, it may recover at any time, and
    /// hosts that it answers already report what they read.
    [[nodiscard]] std::optional<Recovery> recovery() const;
    /// Executes the deferred removals that are due.
    void tick();

private:
    void remove_now(EngineId const&);
    /// The recovery if the platform answers from now on.
    [[nodiscard]] Recovery recovery_from_now(Duration recovery) const;
    /// How long the removal of a server in `domain` still has to wait; 0 if it is due.
    [[nodiscard]] Duration wait_left(FailureDomainId const& domain, Recovery const&, Instant now) const;
    [[nodiscard]] bool is_due(EngineId const&, Recovery const&, Instant now) const;
    void log_deferred(EngineId const&, Recovery const&, Instant now) const;

    ServingContext& context;
    Observer observer;
    std::optional<Recovery> last_recovery;
    /// The removals that are deferred, and the recovery in which each was received.
    std::map<EngineId, Recovery> deferred_removals;
};

}
