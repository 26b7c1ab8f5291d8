/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <optional>

namespace Overload {

/// What one ended generation held of its engine, and for how long.
struct EndedGeneration {
    /// Prompt and output.
    i64 tokens { 0 };
    i64 prompt { 0 };
    Duration ran { 0 };
};

/// How fast the engines of one service release what they hold, learnt from the generations of this host. In a steady
/// state the engines release in one second the mean of what a generation holds, divided by the mean of what it holds
/// times how long. So a host that sees few generations of its own can forecast the releases of all.
class Turnover {
public:
    void record(EndedGeneration const&, Instant now);
    /// The part of the held tokens that is released per second. Empty while too few generations have ended, as are the
    /// other values.
    [[nodiscard]] std::optional<double> released_part(Instant now) const;
    /// The part of the running generations that end per second.
    [[nodiscard]] std::optional<double> ending_part(Instant now) const;
    /// Prompt tokens read per second for each running generation.
    [[nodiscard]] std::optional<double> read_per_generation(Instant now) const;

private:
    /// A host of a large fleet runs one generation in a few seconds.
    static constexpr Duration time_constant = 30s;
    static constexpr double min_generations = 3;

    [[nodiscard]] bool is_known(Instant now) const;
    [[nodiscard]] double remaining_weight(Instant now) const;

    /// Sums over generations with weights that decrease with time.
    struct Sums {
        double generations { 0 };
        double tokens { 0 };
        double prompts { 0 };
        double generation_seconds { 0 };
        double token_seconds { 0 };
    };

    Sums sums;
    Instant updated_at {};
};

}
