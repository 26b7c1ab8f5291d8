/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PoolPace.h>
#include <algorithm>

namespace Overload {

/// Prompt tokens that an engine reads per second beside its streams, until any engine of the pool has shown its own
/// rate.
static constexpr double assumed_tokens_per_second = 7'000;

static std::optional<double> median(std::vector<double> values)
{
    if (values.empty())
        return {};
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

void PoolPace::add(EnginePace const& pace)
{
    this->paces.push_back(pace);
    this->computed.reset();
}

PoolPace::Medians const& PoolPace::medians() const
{
    if (this->computed)
        return *this->computed;
    std::vector<double> intervals;
    std::vector<double> intervals_while_reading;
    std::vector<double> rates;
    std::vector<double> ratios;
    for (auto const& pace : this->paces) {
        if (pace.event_interval)
            intervals.push_back(AK::to_seconds(*pace.event_interval));
        if (pace.event_interval_while_reading)
            intervals_while_reading.push_back(AK::to_seconds(*pace.event_interval_while_reading));
        if (pace.prompt_tokens_per_second)
            rates.push_back(*pace.prompt_tokens_per_second);
        if (pace.event_interval && pace.event_interval_while_reading && *pace.event_interval > Duration(0))
            ratios.push_back(AK::to_seconds(*pace.event_interval_while_reading) / AK::to_seconds(*pace.event_interval));
    }
    this->computed = { median(std::move(intervals)), median(std::move(intervals_while_reading)),
        median(std::move(rates)), median(std::move(ratios)) };
    return *this->computed;
}

std::optional<FullPace> PoolPace::complete(EnginePace const& pace) const
{
    auto const& typical = this->medians();
    if (!typical.interval_while_reading)
        return {};
    auto const ratio = typical.ratio.value_or(1);
    FullPace full;
    if (pace.event_interval_while_reading)
        full.event_interval_while_reading = *pace.event_interval_while_reading;
    else if (pace.event_interval && typical.ratio)
        full.event_interval_while_reading = AK::from_seconds(AK::to_seconds(*pace.event_interval) * ratio);
    else
        full.event_interval_while_reading = AK::from_seconds(*typical.interval_while_reading);
    full.event_interval
        = pace.event_interval.value_or(AK::from_seconds(AK::to_seconds(full.event_interval_while_reading) / ratio));
    full.prompt_tokens_per_second
        = pace.prompt_tokens_per_second.value_or(typical.tokens_per_second.value_or(assumed_tokens_per_second));
    return full;
}

}
