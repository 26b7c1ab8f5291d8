/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibCore/Settings.h>
#include <LibWire/Messages.h>
#include <LibWire/PeerTransport.h>
#include <optional>
#include <vector>

namespace Node {

/// Settings common to all daemons. Base/*.yaml shows each with its default.
struct NodeSettings {
    MemberId member;
    wire::Role role { wire::ROLE_UNSPECIFIED };
    FailureDomainId failure_domain;
    /// The ZeroMQ address at which other daemons reach this one.
    Address peer_listen;
    /// Daemons of this failure domain with which to begin gossip.
    std::vector<Address> peers;
    /// One or two daemons of each other failure domain, from which to fetch newer revisions while the platform is
    /// unavailable.
    std::vector<Address> remote_peers;
    Address platform;
    Duration platform_timeout { 2s };
    /// The HTTP address that serves health, metrics and events.
    Address status_listen;
    Duration heartbeat_period { 1s };
    Duration silence_limit { 8s };
    Duration configuration_poll_period { 1s };
    Duration backend_list_poll_period { 2s };
    std::optional<Wire::CurveKeys> curve;
};

/// Reads the keys under "node". The reader collects the errors.
NodeSettings read_node_settings(Core::SettingsReader&, wire::Role);

}
