/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/NodeSettings.h>
#include <map>

namespace Operator {

enum class OperatorRole : u8 {
    /// May read.
    Viewer,
    /// May read and change the configuration.
    Editor,
};

struct OperatorIdentity {
    std::string name;
    OperatorRole role { OperatorRole::Viewer };
};

/// The settings under "operator", and those of the node.
struct OperatorSettings {
    Node::NodeSettings node;
    /// Address that operators connect to by gRPC.
    Address listen;
    std::string tls_certificate;
    std::string tls_private_key;
    /// The operators, by the SHA-256 hash of their keys.
    std::map<std::string, OperatorIdentity> operators;
};

/// Reads the settings. "operator.operators" is a list of "name:viewer:<sha-256>" or "name:editor:<sha-256>".
OperatorSettings read_operator_settings(Core::SettingsReader&);

}
