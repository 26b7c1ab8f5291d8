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

/// A timestamp that orders events of several processes. It is later than all timestamps that its process had issued or
/// merged before.
struct HybridStamp {
    u64 wall_milliseconds { 0 };
    u32 counter { 0 };
    auto operator<=>(HybridStamp const&) const = default;
};

/// Hybrid logical clock (Kulkarni et al., 2014): follows wall time, and keeps causal order when wall clocks differ.
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

    /// Merges the timestamp of a received message. Timestamps more than `max_skew_milliseconds` ahead are clamped, so
    /// that a host with a wrong clock cannot advance the clocks of all others.
    void observe(HybridStamp received, u64 wall_now)
    {
        received.wall_milliseconds = std::min(received.wall_milliseconds, wall_now + max_skew_milliseconds);
        this->last = std::max(this->last, received);
    }

private:
    static constexpr u64 max_skew_milliseconds = 60'000;
    HybridStamp last;
};

}
