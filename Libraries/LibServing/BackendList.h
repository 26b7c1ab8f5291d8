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
        std::function<void(BackendPointer const&)> appeared;
        /// It says that it leaves, or is off the list.
        std::function<void(BackendPointer const&)> leaves;
    };

    BackendList(ServingContext& context, Observer observer);

    /// The whole list, at one moment.
    void listed(std::vector<BackendServer> const&);
    void changed(BackendServer const&);
    void removed(EngineId const&);
    /// Another host, or the backend server itself, says that it takes no new work.
    void leaving(EngineId const&, std::optional<Instant> ends_at);
    /// The platform answers again; entries that lapsed may come back within `recovery`.
    void platform_regained(Duration recovery);
    [[nodiscard]] Duration recovery_left() const;
    /// Carries out removals whose time has come.
    void tick();

private:
    void remove_now(EngineId const&);

    ServingContext& context;
    Observer observer;
    Instant recovery_over_at {};
    std::map<EngineId, Instant> held_removals;
};

}
