/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <array>
#include <optional>

namespace Overload {

/// The shortest and longest time between two events that engines are known to have. Shorter gaps occur between events
/// that arrive together because the network or this host was held up.
inline constexpr Duration min_event_interval = 1ms;
inline constexpr Duration max_event_interval = 10s;

/// The time between two events of a stream.
struct EventInterval {
    Duration length { 0 };
    /// Whether the engine also read a prompt.
    bool is_reading { false };
};

/// The latest gaps between the events of one stream.
class EventGaps {
public:
    /// Records an event other than the first. Returns the interval of the latest events if they arrived at a steady
    /// rate; each event counts for one returned interval at most.
    std::optional<EventInterval> record(Duration gap, bool is_reading);
    /// The shorter one of the latest two gaps, so that a single delayed event doesn't count. Empty if there is only
    /// one, or if the engine read a prompt during one of them only.
    [[nodiscard]] std::optional<EventInterval> latest() const;

private:
    /// A single delayed event makes one gap too long and the next one too short.
    static constexpr size_t gaps_per_interval = 3;
    /// Gaps of a steady stream are at most this many times as long as the shortest of them. Reading a prompt and
    /// slowed machines change them more.
    static constexpr double max_spread = 1.4;

    [[nodiscard]] bool is_steady() const;
    [[nodiscard]] Duration mean() const;

    std::array<EventInterval, gaps_per_interval> gaps {};
    /// The number of gaps in use.
    size_t count { 0 };
    std::optional<EventInterval> last;
    std::optional<EventInterval> before_last;
};

}
