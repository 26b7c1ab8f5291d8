/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <map>
#include <regex>
#include <string>

namespace Test {

/// Fills a template as the users' platform does: `{{a.b}}` is a value, or nothing if there is none, and the text
/// between
/// `{{#zones}}` and `{{/zones}}` stands once for each zone, with `{{@}}` as its name and `{{.}}` as its region.
class SettingsTemplate {
public:
    explicit SettingsTemplate(std::string text)
        : text(std::move(text))
    {
    }

    [[nodiscard]] std::string fill(
        std::map<std::string, std::string> const& values, std::map<std::string, std::string> const& zones) const
    {
        static std::regex const section(R"(\{\{#zones\}\}([\s\S]*?)\{\{/zones\}\})");
        std::smatch found;
        std::string filled = this->text;
        while (std::regex_search(filled, found, section)) {
            std::string entries;
            for (auto const& [zone, region] : zones)
                entries += replaced(found[1], { { "@", zone }, { ".", region } });
            filled = found.prefix().str() + entries + found.suffix().str();
        }
        return replaced(filled, values);
    }

private:
    static std::string replaced(std::string text, std::map<std::string, std::string> const& values)
    {
        static std::regex const gap(R"(\{\{([^{}#/]+)\}\})");
        std::string result;
        std::smatch found;
        while (std::regex_search(text, found, gap)) {
            auto const value = values.find(found[1]);
            result += found.prefix().str() + (value == values.end() ? "" : value->second);
            text = found.suffix().str();
        }
        return result + text;
    }

    std::string text;
};

}
