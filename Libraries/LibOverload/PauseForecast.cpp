/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/PauseForecast.h>
#include <algorithm>
#include <cmath>

namespace Overload {

/// How long a machine usually keeps one slowness. Other programs on a machine start and stop several times per second
/// or two.
static constexpr double phase_seconds = 0.5;
/// Paces are the quicker ones of what was observed. A single pause may be longer by this share, since the time of a
/// step also depends on the number of streams and on their length.
static constexpr double pause_variation = 0.2;
/// A host with few requests gets few reports, and may have seen none of a slow machine yet. Until it has, it expects
/// work to be slower than by a factor f in 1 / f^assumed_decline of the cases, which counts as this many reports.
static constexpr double assumed_reports = 10;
static constexpr double assumed_decline = 2.5;

/// Probability that something that applies for `share` of the time applies at least once within `duration`, if it
/// changes with each phase.
static double chance_within(double share, double duration)
{
    return 1 - std::pow(1 - std::clamp(share, 0.0, 1.0), 1 + duration / phase_seconds);
}

PauseForecast::PauseForecast(SlownessDistribution const& slowness, StreamDemand const& demand, double reading_share)
    : slowness(slowness)
    , demand(demand)
    , reading_share(std::clamp(reading_share, 0.0, 1.0))
{
}

double PauseForecast::share_above(double limit) const
{
    constexpr double hundredths = 100;
    constexpr double max_limit = 1000;
    auto const key = static_cast<int>(std::min(limit, max_limit) * hundredths);
    auto const [known, is_new] = this->known_shares.try_emplace(key, 0);
    if (is_new) {
        auto const reports = static_cast<double>(this->slowness.count());
        auto const observed = reports * this->slowness.share_above(Slowness(key / hundredths));
        auto const assumed = assumed_reports * std::pow(std::max(1.0, limit), -assumed_decline);
        known->second = (observed + assumed) / (reports + assumed_reports);
    }
    return known->second;
}

double PauseForecast::share_over(Duration interval, Duration goal) const
{
    if (interval <= Duration(0) || goal <= Duration(0))
        return 0;
    return this->share_above(AK::to_seconds(goal) / (AK::to_seconds(interval) * (1 + pause_variation)));
}

/// Streams that exceed their goal anyway are not made late by a prompt.
double PauseForecast::late_because_of_prompt(FullPace const& pace) const
{
    if (this->demand.unread_tokens <= 0 || pace.prompt_tokens_per_second <= 0)
        return 0;
    auto const while_reading = this->share_over(pace.event_interval_while_reading, this->demand.goal_of_others);
    auto const otherwise = this->share_over(pace.event_interval, this->demand.goal_of_others);
    return chance_within(
        std::max(0.0, while_reading - otherwise), this->demand.unread_tokens / pace.prompt_tokens_per_second);
}

double PauseForecast::late_by_a_pause(FullPace const& pace) const
{
    if (this->demand.expected_events <= 1)
        return 0;
    auto const while_reading = this->share_over(pace.event_interval_while_reading, this->demand.goal);
    auto const otherwise = this->share_over(pace.event_interval, this->demand.goal);
    auto const share = this->reading_share * while_reading + (1 - this->reading_share) * otherwise;
    return chance_within(share, this->demand.expected_events * AK::to_seconds(pace.event_interval));
}

double PauseForecast::late_with_first_event(Duration wait) const
{
    if (!this->demand.first_event_due_in || wait <= Duration(0))
        return 0;
    auto const limit = AK::to_seconds(*this->demand.first_event_due_in) / AK::to_seconds(wait);
    return limit <= 1 ? 1 : this->share_above(limit);
}

PauseEstimate PauseForecast::estimate(FullPace const& pace, EngineStreams const& engine) const
{
    PauseEstimate estimate;
    estimate.pause = pace.event_interval_while_reading;
    if (pace.prompt_tokens_per_second > 0)
        estimate.first_event_wait
            = AK::from_seconds((engine.unread_tokens + this->demand.unread_tokens) / pace.prompt_tokens_per_second);
    estimate.caused = engine.streams * this->late_because_of_prompt(pace);
    estimate.own = 1 - (1 - this->late_by_a_pause(pace)) * (1 - this->late_with_first_event(estimate.first_event_wait));
    return estimate;
}

}
