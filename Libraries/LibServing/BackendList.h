/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <map>

namespace Serving {

/// Keeps the table of backend servers in step with the platform's list. Entries lapse on that list while the platform
/// is away, and the backend servers that live put them back within a known time of its return; a removal that is
/// heard in that time is therefore held until it is over.
class BackendList {
public:
    struct Observer {
        std::function<void(BackendPointer const&)> on_added;
        /// It says that it leaves, or is off the list.
        std::function<void(BackendPointer const&)> on_leaving;
    };

    BackendList(ServingContext& context, Observer observer);

    /// The whole list, at one moment, with the ids of entries that cannot be used.
    void apply_list(std::vector<BackendServer> const&, std::vector<EngineId> const& unusable = {});
    void apply_entry(BackendServer const&);
    /// Its entry cannot be used: it names no server to give work to, until a good entry comes. What runs there goes on,
    /// since another writer's mistake says nothing of the server.
    void mark_unusable(EngineId const&);
    void handle_removal(EngineId const&);
    /// Another host, or the backend server itself, says that the one which started then takes no new work.
    void handle_leaving(EngineId const&, ServerStart, std::optional<Instant> ends_at);
    /// Another process answers where it was: no work is given to it until the list has another start or address of it,
    /// or has it anew. What is under way is left to its connection: only a later start under its id proves the end.
    void handle_termination(EngineId const&, ServerStart, Address const&);
    /// The platform answers again; entries that lapsed may come back within `recovery`.
    void handle_platform_recovery(Duration recovery);
    [[nodiscard]] Duration recovery_left() const;
    /// Carries out removals whose time has come.
    void tick();

private:
    void remove_now(EngineId const&);

    ServingContext& context;
    Observer observer;
    Instant recovery_ends_at {};
    std::map<EngineId, Instant> deferred_removals;
};

}
