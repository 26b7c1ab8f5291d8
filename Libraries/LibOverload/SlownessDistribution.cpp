/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/SlownessDistribution.h>
#include <algorithm>

namespace Overload {

void SlownessDistribution::record(Slowness slowness, Instant now)
{
    this->readings.push_back({ slowness, now });
    while (this->readings.size() > max_readings || now - this->readings.front().observed_at > window)
        this->readings.pop_front();
}

double SlownessDistribution::share_above(Slowness limit) const
{
    if (this->readings.empty())
        return 0;
    auto const above
        = std::ranges::count_if(this->readings, [&](auto const& reading) { return reading.slowness > limit; });
    return static_cast<double>(above) / static_cast<double>(this->readings.size());
}

}
