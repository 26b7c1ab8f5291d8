/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/EventGaps.h>
#include <algorithm>
#include <numeric>
#include <utility>

namespace Overload {

std::optional<EventInterval> EventGaps::record(Duration gap, bool is_reading)
{
    EventInterval const interval { gap, is_reading };
    this->before_last = std::exchange(this->last, interval);
    if (this->count == gaps_per_interval) {
        std::rotate(this->gaps.begin(), this->gaps.begin() + 1, this->gaps.end());
        --this->count;
    }
    this->gaps[this->count++] = interval;
    if (this->count < gaps_per_interval || !this->is_steady())
        return {};
    this->count = 0;
    return EventInterval { this->mean(), is_reading };
}

std::optional<EventInterval> EventGaps::latest() const
{
    if (!this->before_last || this->before_last->is_reading != this->last->is_reading)
        return {};
    return EventInterval { std::min(this->last->length, this->before_last->length), this->last->is_reading };
}

bool EventGaps::is_steady() const
{
    auto const [shortest, longest] = std::ranges::minmax(this->gaps, {}, &EventInterval::length);
    bool const is_uniform = std::ranges::all_of(
        this->gaps, [&](auto const& gap) { return gap.is_reading == this->gaps.front().is_reading; });
    bool const is_credible = shortest.length >= min_event_interval && longest.length <= max_event_interval;
    return is_uniform && is_credible && AK::to_seconds(longest.length) <= max_spread * AK::to_seconds(shortest.length);
}

Duration EventGaps::mean() const
{
    auto const sum = std::accumulate(this->gaps.begin(), this->gaps.end(), Duration(0),
        [](Duration total, EventInterval const& gap) { return total + gap.length; });
    return sum / gaps_per_interval;
}

}
