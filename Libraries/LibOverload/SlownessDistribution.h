/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/Slowness.h>
#include <deque>

namespace Overload {

/// The slowness that the servers of one service have reported lately. A single report is outdated by the time of the
/// next decision, but all of them together tell how often a server is slow, and how slow it is then.
class SlownessDistribution {
public:
    void record(Slowness, Instant now);
    /// Whether the servers of the service report their slowness at all.
    [[nodiscard]] bool is_known() const { return !this->readings.empty(); }
    /// Number of recent reports.
    [[nodiscard]] size_t count() const { return this->readings.size(); }
    /// The share of the recent reports that exceed `limit`; 0 without reports.
    [[nodiscard]] double share_above(Slowness limit) const;

private:
    /// Long enough for many periods of other programs on the servers' machines.
    static constexpr Duration window = 30s;
    static constexpr size_t max_readings = 512;

    /// In the order of time.
    std::deque<SlownessReading> readings;
};

}
