/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/LogLine.h>
#include <charconv>

namespace Account {

template<typename T>
static std::optional<T> parse_number(std::string_view text)
{
    T number {};
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return {};
    return number;
}

std::optional<i64> LogLine::number(std::string const& key) const
{
    auto found = this->values.find(key);
    return found == this->values.end() ? std::nullopt : parse_number<i64>(found->second);
}

std::string LogLine::text(std::string const& key) const
{
    auto found = this->values.find(key);
    return found == this->values.end() ? std::string {} : found->second;
}

static std::string_view last_word(std::string_view text)
{
    while (text.ends_with(' '))
        text.remove_suffix(1);
    auto space = text.find_last_of(' ');
    return space == std::string_view::npos ? text : text.substr(space + 1);
}

/// Removes a value from the front of `rest` and returns it: the text up to the next space, or a quoted text, unescaped.
static std::optional<std::string> parse_value(std::string_view& rest)
{
    if (!rest.starts_with('"')) {
        auto end = std::min(rest.find(' '), rest.size());
        std::string value(rest.substr(0, end));
        rest.remove_prefix(end);
        return value;
    }
    std::string value;
    for (size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return value;
        }
        if (rest[i] == '\\')
            ++i;
        if (i < rest.size())
            value += rest[i];
    }
    return {};
}

/// Adds the keys and values of `rest` to `values`. Skips words without a value, such as the name of the event. Returns
/// false if a quote is not closed.
static bool parse_values(std::string_view rest, std::map<std::string, std::string>& values)
{
    while (!rest.empty()) {
        if (rest.front() == ' ') {
            rest.remove_prefix(1);
            continue;
        }
        auto key_end = rest.find_first_of("= ");
        if (key_end == std::string_view::npos || rest[key_end] == ' ') {
            rest.remove_prefix(std::min(key_end, rest.size()));
            continue;
        }
        std::string key(rest.substr(0, key_end));
        rest.remove_prefix(key_end + 1);
        auto value = parse_value(rest);
        if (!value)
            return false;
        values[key] = std::move(*value);
    }
    return true;
}

Result<std::optional<LogLine>> parse_log_line(std::string_view text)
{
    static constexpr std::string_view beginning = "ms=";
    auto begin = text.starts_with(beginning) ? 0 : text.find(" ms=");
    if (begin == std::string_view::npos || text.find(" event=E", begin) == std::string_view::npos)
        return std::optional<LogLine> {};
    LogLine line;
    line.host = last_word(text.substr(0, begin));
    if (!parse_values(text.substr(begin), line.values))
        return Error { ErrorKind::InvalidRequest, "a quote without an end; was the line cut?", {} };
    auto milliseconds = parse_number<u64>(line.text("ms"));
    auto number = parse_number<u32>(std::string_view(line.values["event"]).substr(1));
    if (!milliseconds || !number)
        return Error { ErrorKind::InvalidRequest, "no time or number of the event; was the line cut?", {} };
    line.milliseconds = *milliseconds;
    line.event = static_cast<Core::EventNumber>(*number);
    line.subject = line.text("subject");
    return std::optional(std::move(line));
}

}
