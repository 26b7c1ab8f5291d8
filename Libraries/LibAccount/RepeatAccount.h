/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibAccount/LogLine.h>
#include <vector>

namespace Account {

/// Limit on the repeats that all hosts together may send to a service in any window: a ratio of its requests plus a
/// fixed allowance. A repeat is any dispatch of a request after its first.
struct RepeatBound {
    double ratio { 0.2 };
    double allowance { 50 };
    u64 window_milliseconds { 10'000 };
};

/// The repeats and requests of one window of time.
struct RepeatWindow {
    /// Start of the window in milliseconds, by the clock that the timestamps come from.
    u64 from { 0 };
    u32 repeats { 0 };
    /// The maximum of the requests in this window, in the window before it and in the window that begins half a window
    /// earlier, since a repeat may follow its request after some time.
    u32 requests { 0 };
    double allowed { 0 };

    [[nodiscard]] double excess() const { return repeats - allowed; }
};

/// Returns the window that exceeds the bound by most or, if none does, comes closest to it. Returns nothing if there
/// are no repeats. Both lists are timestamps in milliseconds in ascending order.
std::optional<RepeatWindow> worst_window(
    std::vector<u64> const& requests, std::vector<u64> const& repeats, RepeatBound const&);

/// Collects the repeats in the logs of the hosts by service.
class RepeatAccount {
public:
    struct Service {
        std::vector<u64> requests;
        std::vector<u64> repeats;
        /// Number of repeats that a host's share of the bound did not allow.
        u32 withheld { 0 };
    };

    void add(LogLine const&);
    /// Returns the services by name, with timestamps in ascending order.
    [[nodiscard]] std::map<std::string, Service> services() const;

private:
    std::map<std::string, Service> by_name;
};

}
