/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Types.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Core {

/// Reads and validates one YAML settings file. Errors are collected, so that one run reports all of them, and each
/// names file, line, key and remedy. A key that the program did not read is an error, too. Keys are dotted paths, such
/// as "gateway.listen".
class SettingsReader {
public:
    static Result<SettingsReader> load(std::string const& path);
    static Result<SettingsReader> parse(std::string const& name, std::string const& text);

    /// Returns the value at `key`. A missing key is an error.
    std::string text(std::string const& key);
    std::string text_or(std::string const& key, std::string fallback);
    std::vector<std::string> text_list(std::string const& key);
    /// Reads a map of single values. A missing key is an empty map.
    std::map<std::string, std::string> text_map(std::string const& key);
    /// Reads a number with a unit: "250ms", "2.5s" or "5m". A unit alone counts as a missing key.
    Duration duration_or(std::string const& key, Duration fallback);
    i64 whole_number_or(std::string const& key, i64 fallback, i64 min, i64 max);
    bool flag_or(std::string const& key, bool fallback);
    /// Reads a required "ip:port".
    std::string address(std::string const& key);
    std::vector<std::string> address_list(std::string const& key);

    /// Records an error about `key` that the caller found.
    void add_error(std::string const& key, std::string const& remedy);

    /// Returns success, or one error that lists all errors found.
    [[nodiscard]] Result<void> finish();

private:
    SettingsReader(std::string name, YAML::Node root);

    YAML::Node find(std::string const& key);
    void add_error_at(YAML::Node const& node, std::string const& key, std::string const& remedy);
    void report_unknown_keys(YAML::Node const& node, std::string const& prefix);
    std::string checked_scalar(YAML::Node const& node, std::string const& key);

    std::string name;
    YAML::Node root;
    std::set<std::string> known_keys;
    std::vector<std::string> errors;
};

/// Parses "250ms", "2.5s" or "5m", to the nearest nanosecond. The number is not negative, and may have a fraction and
/// an exponent.
std::optional<Duration> parse_duration(std::string const&);
bool is_address(std::string const&);

}
