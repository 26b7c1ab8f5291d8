/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibAccount/LogLine.h>
#include <vector>

namespace Account {

/// What all hosts together may send to a service beyond the first dispatch of each request, in any window: a share of
/// its requests, and an allowance on top.
struct RepeatBound {
    double ratio { 0.2 };
    double allowance { 50 };
    u64 window_milliseconds { 10'000 };
};

/// One window of time, with what was repeated in it.
struct RepeatWindow {
    /// In milliseconds, by the clock of whoever counted.
    u64 from { 0 };
    u32 repeats { 0 };
    /// In this window, in the one before it or in the one that begins half a window earlier, whichever holds most: a
    /// repeat may come some time after its request.
    u32 requests { 0 };
    double allowed { 0 };

    [[nodiscard]] double excess() const { return repeats - allowed; }
};

/// The window that exceeds the bound by most, or comes nearest to it. Nothing when nothing was repeated. Both lists are
/// moments in milliseconds and rise.
std::optional<RepeatWindow> worst_window(
    std::vector<u64> const& requests, std::vector<u64> const& repeats, RepeatBound const&);

/// Adds up what the hosts' logs say of repeats, by service.
class RepeatAccount {
public:
    struct Service {
        std::vector<u64> requests;
        std::vector<u64> repeats;
        /// Repeats that a host's part of the bound did not allow.
        u32 withheld { 0 };
    };

    void add(LogLine const&);
    /// By name; the moments rise.
    [[nodiscard]] std::map<std::string, Service> services() const;

private:
    std::map<std::string, Service> by_name;
};

}
