/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/NodeSettings.h>

namespace Node {

static std::vector<Address> to_addresses(std::vector<std::string> const& texts)
{
    return { texts.begin(), texts.end() };
}

NodeSettings read_node_settings(Core::SettingsReader& reader, wire::Role role)
{
    NodeSettings settings;
    settings.member = MemberId(reader.text("node.member"));
    settings.role = role;
    settings.failure_domain = FailureDomainId(reader.text("node.failure_domain"));
    settings.peer_listen = Address(reader.address("node.peer_listen"));
    settings.peers = to_addresses(reader.address_list("node.peers"));
    settings.remote_peers = to_addresses(reader.address_list("node.remote_peers"));
    settings.platform = Address(reader.address("node.platform"));
    settings.platform_timeout = reader.duration_or("node.platform_patience", settings.platform_timeout);
    settings.status_listen = Address(reader.address("node.status_listen"));
    settings.heartbeat_period = reader.duration_or("node.heartbeat_period", settings.heartbeat_period);
    settings.silence_limit = reader.duration_or("node.silence_limit", settings.silence_limit);
    settings.configuration_poll_period
        = reader.duration_or("node.configuration_poll_period", settings.configuration_poll_period);
    settings.backend_list_poll_period
        = reader.duration_or("node.backend_list_poll_period", settings.backend_list_poll_period);
    auto public_key = reader.text_or("node.curve.public_key", "");
    auto secret_key = reader.text_or("node.curve.secret_key", "");
    if (!public_key.empty() || !secret_key.empty())
        settings.curve = Wire::CurveKeys { public_key, secret_key };
    return settings;
}

}
