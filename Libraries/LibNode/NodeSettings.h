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

/// The settings that every daemon has. Base/*.yaml shows each with its default.
struct NodeSettings {
    MemberId member;
    wire::Role role { wire::ROLE_UNSPECIFIED };
    FailureDomainId failure_domain;
    /// Where other daemons reach this one, over ZeroMQ.
    Address peer_listen;
    /// Daemons of this failure domain to begin gossip with.
    std::vector<Address> peers;
    /// Daemons of other failure domains, one or two each, to learn of newer revisions from when the platform is out.
    std::vector<Address> remote_peers;
    Address platform;
    Duration platform_timeout { 2s };
    /// Health, metrics and events over HTTP.
    Address status_listen;
    Duration heartbeat_period { 1s };
    Duration silence_limit { 8s };
    Duration configuration_poll_period { 1s };
    Duration backend_list_poll_period { 2s };
    std::optional<Wire::CurveKeys> curve;
};

/// Reads the keys under "node". Complaints stay in the reader.
NodeSettings read_node_settings(Core::SettingsReader&, wire::Role);

}
