/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <cmath>

namespace Serving {

/// How fast this host places generations, and what that says of what others of its domain place unseen by it: callers
/// are spread over the hosts of a domain, so that they place about as fast.
class PlacementRate {
public:
    void record(Instant now)
    {
        this->per_second = this->current(now) + 1 / AK::to_seconds(time_constant);
        this->updated_at = now;
    }

    /// Placements of `deciders` hosts like this one in `age`.
    [[nodiscard]] double unseen(Instant now, size_t deciders, Duration age) const
    {
        return this->current(now) * static_cast<double>(deciders) * AK::to_seconds(age);
    }

private:
    /// A host places one generation in one to three seconds on the deployments known so far; the mean of some of them.
    static constexpr Duration time_constant = 10s;

    [[nodiscard]] double current(Instant now) const
    {
        auto age = AK::to_seconds(now - this->updated_at) / AK::to_seconds(time_constant);
        return this->per_second * std::exp(-age);
    }

    double per_second { 0 };
    Instant updated_at {};
};

}
