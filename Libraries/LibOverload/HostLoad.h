/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <AK/Types.h>
#include <deque>
#include <optional>

namespace Overload {

/// Measures the load of this host itself: how late its event loop runs, and how much of its link is in use.
class HostLoad {
public:
    /// What was measured at one tick of the event loop.
    struct Sample {
        /// How late the tick ran. Everything else that was due on the event loop was as late.
        Duration lateness { 0 };
        /// Totals since the start of the process.
        u64 bytes_received { 0 };
        u64 bytes_sent { 0 };
    };

    /// `link_bytes_per_second`: bandwidth of the host's link in each direction; 0 if unknown.
    explicit HostLoad(double link_bytes_per_second)
        : link_bytes_per_second(link_bytes_per_second)
    {
    }

    void record(Sample const&, Instant now);
    /// Bytes per second over the last half second, in the direction that carries more.
    [[nodiscard]] double bytes_per_second() const;
    /// Used part of the link; 0 if its bandwidth is unknown.
    [[nodiscard]] double link_use() const { return this->part_of_link(this->bytes_per_second()); }
    /// The lateness that the event loop has had throughout the last samples. A single stall doesn't count.
    [[nodiscard]] Duration standing_lateness() const;

private:
    /// Covers several responses and events of each stream.
    static constexpr Duration rate_window = 500ms;
    /// Samples in a row that have to be late.
    static constexpr size_t standing_samples = 3;

    struct TimedSample {
        Sample sample;
        Instant at {};
    };
    [[nodiscard]] double part_of_link(double bytes_per_second) const
    {
        return this->link_bytes_per_second > 0 ? bytes_per_second / this->link_bytes_per_second : 0;
    }

    double link_bytes_per_second;
    std::deque<TimedSample> samples;
};

}
