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

/// Makes the engines of the failure domain hold the adapters that the configuration requires. A lease in the platform's
/// table ensures that only one router at a time sends orders. Each order carries the lease's epoch and the
/// configuration revision that it follows from. Engines that do not check epochs may only get orders that do no harm
/// when they arrive late or twice, which holds for "hold these adapters". Only for the event loop thread.
class OrderKeeper {
public:
    OrderKeeper(Node::Node&, RouterSettings const&);

    /// Handles an engine's report of the adapters that it holds. Sends an order if they differ from the required ones
    /// and this router holds the lease.
    void engine_reported(Platform::BackendServerRecord const&, std::vector<std::string> const& adapters);

private:
    void renew_lease();
    [[nodiscard]] std::set<std::string> wanted_adapters(ModelId const&) const;

    Node::Node& node;
    RouterSettings const& settings;
    // Used by one background call at a time, and by the event loop only between calls.
    std::shared_ptr<Platform::Lease> lease;
    bool is_renewing { false };
    bool was_holder { false };
    std::set<EngineId> orders_in_flight;
};

}
