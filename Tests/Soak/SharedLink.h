/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>

namespace Soak {

/// One direction of a link of limited bandwidth that several connections share.
class SharedLink {
public:
    explicit SharedLink(double bytes_per_second)
        : bytes_per_second(bytes_per_second)
    {
    }

    /// Queues a packet behind all others. Returns the time until it has passed.
    Duration pass(size_t payload)
    {
        auto const now = AK::BootClock::now();
        auto const seconds = static_cast<double>(payload + header_bytes) / this->bytes_per_second;
        this->free_at = std::max(this->free_at, now) + AK::from_seconds(seconds);
        return this->free_at - now;
    }

private:
    /// Headers of Ethernet, IP and TCP with time stamps.
    static constexpr size_t header_bytes = 66;

    double bytes_per_second;
    Instant free_at {};
};

}
