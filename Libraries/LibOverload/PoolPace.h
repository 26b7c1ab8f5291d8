/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/EnginePace.h>
#include <vector>

namespace Overload {

/// An engine's pace without unknown values.
struct FullPace {
    Duration event_interval { 0 };
    Duration event_interval_while_reading { 0 };
    double prompt_tokens_per_second { 0 };
};

/// The paces of the engines of one service. Unknown values of one engine are estimated from the others: by the usual
/// ratio of two values if the engine's own other value is known, and by the median otherwise.
class PoolPace {
public:
    void add(EnginePace const&);
    /// Empty if no engine of the pool has shown how long its events take while it reads a prompt.
    [[nodiscard]] std::optional<FullPace> complete(EnginePace const&) const;

private:
    struct Medians {
        std::optional<double> interval;
        std::optional<double> interval_while_reading;
        std::optional<double> tokens_per_second;
        /// Of the interval while reading and the interval without, at engines where both are known.
        std::optional<double> ratio;
    };

    [[nodiscard]] Medians const& medians() const;

    std::vector<EnginePace> paces;
    mutable std::optional<Medians> computed;
};

}
