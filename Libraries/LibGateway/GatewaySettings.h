/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/NodeSettings.h>

namespace Gateway {

/// The settings under "gateway", and those of the node.
struct GatewaySettings {
    Node::NodeSettings node;
    /// Address that callers connect to.
    Address listen;
    /// PEM files. Callers must use TLS if both are set.
    std::string tls_certificate;
    std::string tls_private_key;
    /// Maximum time without any data from an engine, including keep-alives. After it, the stream is resumed at the last
    /// token.
    Duration stall_limit { 2s };
    /// Time for which resuming a broken stream is attempted before the caller gets an error.
    Duration resume_timeout { 5s };
    /// Timeout of connecting to a backend server.
    Duration connect_timeout { 1s };
    /// Maximum number of concurrently open requests. Further ones are refused immediately.
    i64 max_open_calls { 512 };
    Duration resume_token_lifetime { 5min };
    /// Time for which a generation continues after its caller has disconnected, so that the caller can resume it.
    Duration resume_grace { 5s };
    /// Time for which new requests are still served after a planned stop begins, until the load balancer has noticed
    /// it.
    Duration balancer_lag { 3s };
};

inline GatewaySettings read_gateway_settings(Core::SettingsReader& reader)
{
    GatewaySettings settings;
    settings.node = Node::read_node_settings(reader, wire::ROLE_GATEWAY);
    settings.listen = Address(reader.address("gateway.listen"));
    settings.tls_certificate = reader.text_or("gateway.tls_certificate", "");
    settings.tls_private_key = reader.text_or("gateway.tls_private_key", "");
    settings.stall_limit = reader.duration_or("gateway.stall_limit", settings.stall_limit);
    settings.resume_timeout = reader.duration_or("gateway.resume_patience", settings.resume_timeout);
    settings.connect_timeout = reader.duration_or("gateway.connect_patience", settings.connect_timeout);
    settings.max_open_calls = reader.whole_number_or("gateway.largest_open_calls", settings.max_open_calls, 1, 10'000);
    settings.resume_token_lifetime
        = reader.duration_or("gateway.resume_token_lifetime", settings.resume_token_lifetime);
    settings.resume_grace = reader.duration_or("gateway.resume_grace", settings.resume_grace);
    settings.balancer_lag = reader.duration_or("gateway.balancer_lag", settings.balancer_lag);
    return settings;
}

}
