/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <compare>

namespace Core {

/// A stamp that orders events of many processes: never before what the process had seen when it was made.
struct HybridStamp {
    u64 wall_milliseconds { 0 };
    u32 counter { 0 };
    auto operator<=>(HybridStamp const&) const = default;
};

/// Hybrid logical clock (Kulkarni et al., 2014): wall time where clocks agree, causal order where they do not.
class HybridClock {
public:
    HybridStamp tick(u64 wall_now)
    {
        if (wall_now > this->last.wall_milliseconds)
            this->last = { wall_now, 0 };
        else
            ++this->last.counter;
        return this->last;
    }

    /// Takes in the stamp of a received message. Stamps from far ahead are cut to `furthest_ahead_milliseconds`, so
    /// that one host with a wrong clock does not drag every other one along.
    void observe(HybridStamp received, u64 wall_now)
    {
        received.wall_milliseconds = std::min(received.wall_milliseconds, wall_now + furthest_ahead_milliseconds);
        this->last = std::max(this->last, received);
    }

private:
    static constexpr u64 furthest_ahead_milliseconds = 60'000;
    HybridStamp last;
};

}
