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
/// is unavailable, and running backend servers register again within a known time after its recovery. A removal that is
/// received within that time is therefore deferred until the time is over.
class BackendList {
public:
    struct Observer {
        /// A backend server was added to the table.
        std::function<void(BackendPointer const&)> on_added;
        /// A backend server is leaving, or was removed from the list.
        std::function<void(BackendPointer const&)> on_leaving;
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
    /// The platform is available again; expired entries may come back within `recovery`.
    void handle_platform_recovery(Duration recovery);
    [[nodiscard]] Duration recovery_left() const;
    /// Executes the deferred removals that are due.
    void tick();

private:
    void remove_now(EngineId const&);

    ServingContext& context;
    Observer observer;
    Instant recovery_ends_at {};
    /// The removals that are deferred, and when each is due.
    std::map<EngineId, Instant> deferred_removals;
};

}
