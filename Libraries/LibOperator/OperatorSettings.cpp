/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOperator/OperatorSettings.h>
#include <sstream>

namespace Operator {

static std::optional<std::pair<std::string, OperatorIdentity>> parse_operator(std::string const& text)
{
    std::istringstream parts(text);
    std::string name;
    std::string role;
    std::string hash;
    std::getline(parts, name, ':');
    std::getline(parts, role, ':');
    std::getline(parts, hash);
    constexpr size_t hash_digits = 64;
    if (name.empty() || hash.size() != hash_digits || (role != "viewer" && role != "editor"))
        return std::nullopt;
    return std::pair { hash,
        OperatorIdentity { name, role == "editor" ? OperatorRole::Editor : OperatorRole::Viewer } };
}

OperatorSettings read_operator_settings(Core::SettingsReader& reader)
{
    OperatorSettings settings;
    settings.node = Node::read_node_settings(reader, wire::ROLE_OPERATOR);
    settings.listen = Address(reader.address("operator.listen"));
    settings.tls_certificate = reader.text_or("operator.tls_certificate", "");
    settings.tls_private_key = reader.text_or("operator.tls_private_key", "");
    for (auto const& text : reader.text_list("operator.operators")) {
        // The error does not contain the text, because that includes the hash of a secret.
        if (auto parsed = parse_operator(text))
            settings.operators.insert(*parsed);
        else
            reader.add_error(
                "operator.operators", "each entry must read name:viewer:<sha-256> or name:editor:<sha-256>");
    }
    return settings;
}

}
