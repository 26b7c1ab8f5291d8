/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Settings.h>
#include <charconv>
#include <cmath>
#include <sstream>

namespace Core {

SettingsReader::SettingsReader(std::string name, YAML::Node root)
    : name(std::move(name))
    , root(std::move(root))
{
}

Result<SettingsReader> SettingsReader::load(std::string const& path)
{
    try {
        return SettingsReader(path, YAML::LoadFile(path));
    } catch (YAML::BadFile const&) {
        return Error { ErrorKind::InvalidSettings, path + ": cannot be read; name a readable file with --settings" };
    } catch (YAML::Exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            path + ':' + std::to_string(exception.mark.line + 1) + ": not YAML: " + exception.msg
                + "; correct the line" };
    }
}

Result<SettingsReader> SettingsReader::parse(std::string const& name, std::string const& text)
{
    try {
        return SettingsReader(name, YAML::Load(text));
    } catch (YAML::Exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            name + ':' + std::to_string(exception.mark.line + 1) + ": not YAML: " + exception.msg
                + "; correct the line" };
    }
}

YAML::Node SettingsReader::find(std::string const& key)
{
    this->known_keys.insert(key);
    YAML::Node node;
    node.reset(this->root);
    std::istringstream parts(key);
    std::string prefix;
    for (std::string part; std::getline(parts, part, '.');) {
        if (!node.IsMap())
            return YAML::Node(YAML::NodeType::Undefined);
        YAML::Node const& parent = node;
        auto child = parent[part];
        if (!child)
            return YAML::Node(YAML::NodeType::Undefined);
        node.reset(child);
    }
    return node;
}

void SettingsReader::add_error_at(YAML::Node const& node, std::string const& key, std::string const& remedy)
{
    auto line = node.IsDefined() ? node.Mark().line + 1 : 1;
    this->errors.push_back(this->name + ':' + std::to_string(line) + ": " + key + ": " + remedy);
}

void SettingsReader::add_error(std::string const& key, std::string const& remedy)
{
    this->add_error_at(this->find(key), key, remedy);
}

std::string SettingsReader::checked_scalar(YAML::Node const& node, std::string const& key)
{
    if (node.IsScalar())
        return node.Scalar();
    this->add_error_at(node, key, "expected a single value");
    return {};
}

std::string SettingsReader::text(std::string const& key)
{
    auto node = this->find(key);
    if (node.IsDefined())
        return this->checked_scalar(node, key);
    this->add_error_at(node, key, "is missing; add it");
    return {};
}

std::string SettingsReader::text_or(std::string const& key, std::string fallback)
{
    auto node = this->find(key);
    return node.IsDefined() ? this->checked_scalar(node, key) : fallback;
}

std::vector<std::string> SettingsReader::text_list(std::string const& key)
{
    auto node = this->find(key);
    std::vector<std::string> result;
    if (!node.IsDefined())
        return result;
    if (!node.IsSequence()) {
        this->add_error_at(node, key, "expected a list; write [a, b]");
        return result;
    }
    for (auto const& item : node)
        result.push_back(this->checked_scalar(item, key));
    return result;
}

std::map<std::string, std::string> SettingsReader::text_map(std::string const& key)
{
    auto node = this->find(key);
    std::map<std::string, std::string> result;
    if (!node.IsDefined() || node.IsNull())
        return result;
    if (!node.IsMap()) {
        this->add_error_at(node, key, "expected a map; write {name: value}");
        return result;
    }
    for (auto const& item : node) {
        auto const name = item.first.Scalar();
        this->known_keys.insert(key + '.' + name);
        result[name] = this->checked_scalar(item.second, key + '.' + name);
    }
    return result;
}

/// Returns the length of a unit in seconds; 0 if it is unknown.
static double seconds_of_unit(std::string_view unit)
{
    if (unit == "ms")
        return 1e-3;
    if (unit == "s")
        return 1;
    return unit == "m" ? 60 : 0;
}

Duration SettingsReader::duration_or(std::string const& key, Duration fallback)
{
    auto node = this->find(key);
    if (!node.IsDefined())
        return fallback;
    auto const text = this->checked_scalar(node, key);
    // A template whose value is not known leaves the unit alone.
    if (seconds_of_unit(text) > 0)
        return fallback;
    auto parsed = parse_duration(text);
    if (!parsed) {
        this->add_error_at(node, key,
            "expected a duration with its unit, such as 250ms, 2.5s or 5m, of a year at most; it is '" + text + '\'');
        return fallback;
    }
    return *parsed;
}

static std::optional<i64> parse_whole_number(std::string const& text)
{
    i64 value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

i64 SettingsReader::whole_number_or(std::string const& key, i64 fallback, i64 min, i64 max)
{
    auto node = this->find(key);
    if (!node.IsDefined())
        return fallback;
    auto value = parse_whole_number(this->checked_scalar(node, key));
    if (!value || *value < min || *value > max) {
        this->add_error_at(
            node, key, "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return fallback;
    }
    return *value;
}

bool SettingsReader::flag_or(std::string const& key, bool fallback)
{
    auto node = this->find(key);
    if (!node.IsDefined())
        return fallback;
    auto value = this->checked_scalar(node, key);
    if (value != "true" && value != "false")
        this->add_error_at(node, key, "expected true or false");
    return value == "true";
}

std::string SettingsReader::address(std::string const& key)
{
    auto value = this->text(key);
    if (!value.empty() && !is_address(value))
        this->add_error_at(this->find(key), key, "expected an IP number and port, such as 10.0.0.7:8080");
    return value;
}

std::vector<std::string> SettingsReader::address_list(std::string const& key)
{
    auto values = this->text_list(key);
    for (auto const& value : values) {
        if (!is_address(value))
            this->add_error_at(this->find(key), key, "expected IP numbers and ports, such as [10.0.0.7:8080]");
    }
    return values;
}

void SettingsReader::report_unknown_keys(YAML::Node const& node, std::string const& prefix)
{
    for (auto const& entry : node) {
        auto key = prefix + entry.first.Scalar();
        if (this->known_keys.contains(key))
            continue;
        if (entry.second.IsMap())
            this->report_unknown_keys(entry.second, key + '.');
        else
            this->add_error_at(entry.first, key, "is not a setting of this program; remove it or correct its name");
    }
}

Result<void> SettingsReader::finish()
{
    if (this->root.IsMap())
        this->report_unknown_keys(this->root, "");
    else
        this->add_error_at(this->root, "settings", "expected a map of settings");
    if (this->errors.empty())
        return success();
    std::string message;
    for (auto const& error : this->errors)
        message += (message.empty() ? "" : "\n") + error;
    return Error { ErrorKind::InvalidSettings, message };
}

std::optional<Duration> parse_duration(std::string const& text)
{
    double number = 0;
    auto const [unit_start, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    auto const unit = seconds_of_unit(std::string_view(unit_start, text.data() + text.size()));
    // A longer duration stems from a wrong unit, and a much longer one would overflow.
    constexpr double seconds_in_a_year = 31'536'000;
    bool const is_valid = error == std::errc() && unit > 0 && std::isfinite(number) && !std::signbit(number)
        && number * unit <= seconds_in_a_year;
    if (!is_valid)
        return std::nullopt;
    constexpr double nanoseconds_in_a_second = 1e9;
    return std::chrono::nanoseconds(std::llround(number * unit * nanoseconds_in_a_second));
}

bool is_address(std::string const& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    auto port = parse_whole_number(text.substr(colon + 1));
    auto host = text.substr(0, colon);
    auto is_number = host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
    return port && *port >= 0 && *port <= 65535 && is_number;
}

}
