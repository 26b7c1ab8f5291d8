/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <optional>

/// Decisions on servers that are slow or full. They depend only on their arguments and use no network.
namespace Overload {

/// How long work takes on a server at present, as a multiple of the time that it usually takes there. The server's
/// machine also runs other programs, so the value changes several times per second.
using Slowness = AK::StrongType<struct SlownessTag, double>;

inline constexpr Slowness usual_slowness { 1 };

/// Bounds of credible values. A server that is slower than the upper one completes no request in time, and no machine
/// is ten times as fast as usual.
inline constexpr Slowness min_slowness { 0.1 };
inline constexpr Slowness max_slowness { 100 };

/// False for values outside of the bounds and for those that are not a number.
constexpr bool is_credible(Slowness slowness) { return slowness >= min_slowness && slowness <= max_slowness; }

/// A slowness and when it was observed.
struct SlownessReading {
    Slowness slowness { usual_slowness };
    Instant observed_at {};
};

/// How long a reading tells anything about the server. Other programs use a machine in bursts of some tenths of a
/// second.
inline constexpr Duration slowness_lifetime = 600ms;

/// The slowness to expect now. A reading loses weight with its age, until the server counts as usual again.
constexpr Slowness expected_slowness(std::optional<SlownessReading> const& reading, Instant now)
{
    if (!reading)
        return usual_slowness;
    auto const age = std::clamp<Duration>(now - reading->observed_at, Duration(0), slowness_lifetime);
    auto const weight = 1 - AK::to_seconds(age) / AK::to_seconds(slowness_lifetime);
    auto const deviation = reading->slowness.value() - usual_slowness.value();
    return Slowness(usual_slowness.value() + weight * deviation);
}

}
