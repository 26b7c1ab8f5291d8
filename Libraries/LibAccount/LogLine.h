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

/// Offline analysis of requests and their outcomes, from the structured logs of the hosts that received them.
namespace Account {

/// One line of a structured log.
struct LogLine {
    /// The host that wrote the line. In a merged log of several hosts it is the last word before the line; empty if
    /// there is none.
    std::string host;
    /// Wall-clock time of that host, in milliseconds.
    u64 milliseconds { 0 };
    Core::EventNumber event {};
    std::string subject;
    std::map<std::string, std::string> values;

    /// Returns nothing if there is no such value or it is not a whole number.
    [[nodiscard]] std::optional<i64> number(std::string const& key) const;
    /// Returns an empty text if there is no such value.
    [[nodiscard]] std::string text(std::string const& key) const;
};

/// Returns nothing for a line that is not part of a structured log, and an error for a line that is but cannot be
/// parsed.
Result<std::optional<LogLine>> parse_log_line(std::string_view);

}
