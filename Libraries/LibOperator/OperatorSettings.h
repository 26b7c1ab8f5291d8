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
    /// May look.
    Viewer,
    /// May look and change.
    Editor,
};

struct OperatorIdentity {
    std::string name;
    OperatorRole role { OperatorRole::Viewer };
};

/// The settings under "operator", beside those of the node.
struct OperatorSettings {
    Node::NodeSettings node;
    /// Where operators connect, by gRPC.
    Address listen;
    std::string tls_certificate;
    std::string tls_private_key;
    /// By the SHA-256 of each operator's key.
    std::map<std::string, OperatorIdentity> operators;
};

/// Reads the settings. "operator.operators" is a list of "name:viewer:<sha-256>" or "name:editor:<sha-256>".
OperatorSettings read_operator_settings(Core::SettingsReader&);

}
