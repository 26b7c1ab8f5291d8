/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <LibPlatform/Lease.h>
#include <LibRouter/EngineControl.h>
#include <LibRouter/RouterSettings.h>
#include <map>
#include <memory>
#include <set>

namespace Router {

/// Keeps the engines of the failure domain holding the adapters that the configuration says. One router at a time
/// gives orders, by a lease in the platform's table; each order carries the lease's epoch and the revision it follows
/// from. Engines that do not check epochs get an order only when a late or doubled one does no harm, which holds for
/// "hold these adapters". Loop thread only.
class OrderKeeper {
public:
    OrderKeeper(Node::Node&, RouterSettings const&);

    /// An engine said which adapters it holds.
    void engine_reported(Platform::BackendServerRecord const&, std::vector<std::string> const& adapters);

private:
    void renew_lease();
    [[nodiscard]] std::set<std::string> wanted_adapters(ModelId const&) const;

    Node::Node& node;
    RouterSettings const& settings;
    // Touched by one background call at a time, and by the loop only between calls.
    std::shared_ptr<Platform::Lease> lease;
    bool is_renewing { false };
    bool was_holder { false };
    std::set<EngineId> orders_in_flight;
};

}
