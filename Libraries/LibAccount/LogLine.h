/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibCore/EventCatalogue.h>
#include <map>
#include <optional>
#include <string>

/// What became of requests, read afterwards from the structured logs of the hosts that took them.
namespace Account {

/// One line of a structured log.
struct LogLine {
    /// The host that wrote it: the last word before the line, where logs of several hosts were put together with their
    /// names in front. Empty when there is none.
    std::string host;
    /// Wall clock of that host, in milliseconds.
    u64 milliseconds { 0 };
    Core::EventNumber event {};
    std::string subject;
    std::map<std::string, std::string> values;

    /// Nothing when there is no such value, or when it is not a whole number.
    [[nodiscard]] std::optional<i64> number(std::string const& key) const;
    /// Empty when there is no such value.
    [[nodiscard]] std::string text(std::string const& key) const;
};

/// Nothing for a line that is not part of a structured log. An error for one that is, but cannot be read.
Result<std::optional<LogLine>> parse_log_line(std::string_view);

}
