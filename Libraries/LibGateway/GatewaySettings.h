/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/NodeSettings.h>

namespace Gateway {

/// The settings under "gateway", beside those of the node.
struct GatewaySettings {
    Node::NodeSettings node;
    /// Where callers connect.
    Address listen;
    /// PEM files; callers speak TLS when both are set.
    std::string tls_certificate;
    std::string tls_private_key;
    /// An engine from which nothing comes for so long, not even a keep-alive, is asked again from the last token.
    Duration stall_limit { 2s };
    /// How long a broken stream is tried to be resumed before the caller is told that it is lost.
    Duration resume_timeout { 5s };
    /// How long connecting to a backend server may take.
    Duration connect_timeout { 1s };
    /// Requests open at once; more are refused at once.
    i64 max_open_calls { 512 };
    Duration resume_token_lifetime { 5min };
    /// A generation whose caller went away runs on for so long, should the caller resume it.
    Duration resume_grace { 5s };
    /// After a planned stop begins, new requests are still served for so long, until the balancer has noticed.
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
