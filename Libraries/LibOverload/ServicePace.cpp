/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PaceEstimator.h>
#include <LibOverload/ServicePace.h>

namespace Overload {

/// The median of five is right if two of them are wrong.
static constexpr size_t min_samples = 5;

void ServicePace::record_interval(EventInterval const& interval, Slowness slowness)
{
    auto& intervals = interval.is_reading ? this->event_seconds_while_reading : this->event_seconds;
    intervals.record(AK::to_seconds(interval.length) / slowness.value());
}

void ServicePace::record_prompt(TokenCount prompt, Duration time, Slowness slowness)
{
    if (auto const seconds = seconds_per_prompt_token_of(prompt, time))
        this->seconds_per_prompt_token.record(*seconds / slowness.value());
}

void ServicePace::record_reported(EnginePace const& pace, Slowness slowness)
{
    auto const known = this->pace_at(slowness);
    if (pace.event_interval && !known.event_interval)
        this->record_interval({ *pace.event_interval, false }, slowness);
    if (pace.event_interval_while_reading && !known.event_interval_while_reading)
        this->record_interval({ *pace.event_interval_while_reading, true }, slowness);
    if (pace.prompt_tokens_per_second && !known.prompt_tokens_per_second)
        this->seconds_per_prompt_token.record(1 / *pace.prompt_tokens_per_second / slowness.value());
}

EnginePace ServicePace::pace_at(Slowness slowness) const
{
    EnginePace pace;
    if (auto const seconds = this->event_seconds.value(min_samples))
        pace.event_interval = AK::from_seconds(*seconds * slowness.value());
    if (auto const seconds = this->event_seconds_while_reading.value(min_samples))
        pace.event_interval_while_reading = AK::from_seconds(*seconds * slowness.value());
    if (auto const seconds = this->seconds_per_prompt_token.value(min_samples))
        pace.prompt_tokens_per_second = 1 / (*seconds * slowness.value());
    return pace;
}

}
