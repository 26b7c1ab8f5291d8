/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Types.h>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Core {

/// Reads one YAML settings file and checks it as a whole: every complaint names file, line, key and remedy, and a
/// key that nothing read is a complaint too. Keys are dotted paths, such as "gateway.listen".
class SettingsReader {
public:
    static Result<SettingsReader> load(std::string const& path);
    static Result<SettingsReader> parse(std::string const& name, std::string const& text);

    /// The value at `key`; complains when it is missing.
    std::string text(std::string const& key);
    std::string text_or(std::string const& key, std::string fallback);
    std::vector<std::string> text_list(std::string const& key);
    /// A number with a unit: "250ms", "2s" or "5m".
    Duration duration_or(std::string const& key, Duration fallback);
    i64 whole_number_or(std::string const& key, i64 fallback, i64 smallest, i64 largest);
    bool flag_or(std::string const& key, bool fallback);
    /// "ip:port".
    std::string address(std::string const& key);
    std::vector<std::string> address_list(std::string const& key);

    /// Adds a complaint of the caller's own about `key`.
    void add_error(std::string const& key, std::string const& remedy);

    /// Success, or one error that lists every complaint.
    [[nodiscard]] Result<void> finish();

private:
    SettingsReader(std::string name, YAML::Node root);

    YAML::Node find(std::string const& key);
    void complain(YAML::Node const& node, std::string const& key, std::string const& remedy);
    void complain_of_unknown_keys(YAML::Node const& node, std::string const& prefix);
    std::string checked_scalar(YAML::Node const& node, std::string const& key);

    std::string name;
    YAML::Node root;
    std::set<std::string> known_keys;
    std::vector<std::string> complaints;
};

/// Parses "250ms", "2s" or "5m".
std::optional<Duration> parse_duration(std::string const&);
bool is_address(std::string const&);

}
