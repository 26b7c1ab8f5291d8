/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

/// Decisions on servers that are slow or full. They depend only on their arguments and use no network.
namespace Overload {

/// How long work takes on a server at present, as a multiple of the time that it usually takes there. The server's
/// machine also runs other programs, so the value changes several times per second.
using Slowness = AK::StrongType<struct SlownessTag, double>;

inline constexpr Slowness usual_slowness { 1 };

/// A slowness and when it was observed.
struct SlownessReading {
    Slowness slowness { usual_slowness };
    Instant observed_at {};
};

}
