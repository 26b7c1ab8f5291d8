/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <cmath>

namespace Serving {

/// Tracks the rate at which this host places generations, and estimates from it the placements of the other hosts of
/// its domain that this host does not know of yet. Callers are spread over the hosts of a domain, so these place at
/// about the same rate.
class PlacementRate {
public:
    void record(Instant now)
    {
        this->per_second = this->current(now) + 1 / AK::to_seconds(time_constant);
        this->updated_at = now;
    }

    /// Estimated number of placements within the last `age` by this number of hosts, each with this host's rate.
    [[nodiscard]] double estimate_unseen(Instant now, size_t hosts, Duration age) const
    {
        return this->current(now) * static_cast<double>(hosts) * AK::to_seconds(age);
    }

private:
    /// Averages over several placements: a host places one generation every one to three seconds in the deployments
    /// known so far.
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
