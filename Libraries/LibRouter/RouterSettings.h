/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/NodeSettings.h>

namespace Router {

/// The settings under "router", in addition to those of the node.
struct RouterSettings {
    Node::NodeSettings node;
    Duration tick_period { 50ms };
    Duration load_poll_period { 500ms };
    Duration engine_timeout { 1s };
    /// How long claims are collected before they are written together. At this value, 22 failure domains stay below 100
    /// writes per second.
    Duration claim_period { 250ms };
    /// Term of the lease for orders to engines. The lease is renewed every third of the term.
    Duration lease_term { 15s };
    Duration lease_margin { 3s };
};

inline RouterSettings read_router_settings(Core::SettingsReader& reader)
{
    RouterSettings settings;
    settings.node = Node::read_node_settings(reader, wire::ROLE_ROUTER);
    settings.tick_period = reader.duration_or("router.tick_period", settings.tick_period);
    settings.load_poll_period = reader.duration_or("router.load_poll_period", settings.load_poll_period);
    settings.engine_timeout = reader.duration_or("router.engine_patience", settings.engine_timeout);
    settings.claim_period = reader.duration_or("router.claim_period", settings.claim_period);
    settings.lease_term = reader.duration_or("router.lease_term", settings.lease_term);
    settings.lease_margin = reader.duration_or("router.lease_margin", settings.lease_margin);
    return settings;
}

}
