/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PaceEstimator.h>

namespace Overload {

std::optional<double> seconds_per_prompt_token_of(TokenCount prompt, Duration time)
{
    constexpr TokenCount min_prompt { 200 };
    if (prompt < min_prompt || time <= Duration(0))
        return {};
    return AK::to_seconds(time) / static_cast<double>(prompt.value());
}

void PaceEstimator::record_interval(EventInterval const& interval)
{
    auto& intervals = interval.is_reading ? this->event_seconds_while_reading : this->event_seconds;
    intervals.record(AK::to_seconds(interval.length));
}

void PaceEstimator::record_prompt(TokenCount prompt, Duration time)
{
    if (auto const seconds = seconds_per_prompt_token_of(prompt, time))
        this->seconds_per_prompt_token.record(*seconds);
}

EnginePace PaceEstimator::pace_from(size_t min_samples) const
{
    EnginePace pace;
    if (auto const seconds = this->event_seconds.value(min_samples))
        pace.event_interval = AK::from_seconds(*seconds);
    if (auto const seconds = this->event_seconds_while_reading.value(min_samples))
        pace.event_interval_while_reading = AK::from_seconds(*seconds);
    if (auto const seconds = this->seconds_per_prompt_token.value(min_samples))
        pace.prompt_tokens_per_second = 1 / *seconds;
    return pace;
}

std::optional<Slowness> observed_slowness(std::optional<EventInterval> const& latest, EnginePace const& pace)
{
    if (!latest)
        return {};
    auto const& usual = latest->is_reading ? pace.event_interval_while_reading : pace.event_interval;
    if (!usual || *usual <= Duration(0))
        return {};
    Slowness const slowness(AK::to_seconds(latest->length) / AK::to_seconds(*usual));
    if (!is_credible(slowness))
        return {};
    return slowness;
}

}
