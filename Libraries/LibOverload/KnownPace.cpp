/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/KnownPace.h>

namespace Overload {

/// Engines of different speed differ by more than this; repeated estimates of one engine's speed by less.
static constexpr double noticeable_ratio = 1.15;

/// Messages tell the age of a report with less precision than this.
static constexpr Duration min_report_distance = 100ms;

static std::optional<Duration> credible(std::optional<Duration> const& interval)
{
    if (!interval || *interval < min_event_interval || *interval > max_event_interval)
        return {};
    return interval;
}

static std::optional<double> credible(std::optional<double> const& tokens_per_second)
{
    // Not a number fails both comparisons.
    if (tokens_per_second && *tokens_per_second >= min_prompt_tokens_per_second
        && *tokens_per_second <= max_prompt_tokens_per_second)
        return tokens_per_second;
    return {};
}

EnginePace credible_part(EnginePace const& pace)
{
    return { credible(pace.event_interval), credible(pace.event_interval_while_reading),
        credible(pace.prompt_tokens_per_second) };
}

template<typename T, typename Better>
static std::optional<T> better_of(std::optional<T> const& one, std::optional<T> const& other, Better const& is_better)
{
    if (!one || !other)
        return one ? one : other;
    return is_better(*other, *one) ? other : one;
}

EnginePace quicker(EnginePace const& one, EnginePace const& other)
{
    return { better_of(one.event_interval, other.event_interval, std::less<> {}),
        better_of(one.event_interval_while_reading, other.event_interval_while_reading, std::less<> {}),
        better_of(one.prompt_tokens_per_second, other.prompt_tokens_per_second, std::greater<> {}) };
}

static bool is_noticeably_shorter(std::optional<Duration> const& interval, std::optional<Duration> const& than)
{
    if (!interval || !than)
        return interval && !than;
    return AK::to_seconds(*interval) * noticeable_ratio < AK::to_seconds(*than);
}

bool is_noticeably_quicker(EnginePace const& pace, EnginePace const& than)
{
    auto const& rate = pace.prompt_tokens_per_second;
    auto const& rate_than = than.prompt_tokens_per_second;
    bool const reads_quicker = rate && (!rate_than || *rate > *rate_than * noticeable_ratio);
    return reads_quicker || is_noticeably_shorter(pace.event_interval, than.event_interval)
        || is_noticeably_shorter(pace.event_interval_while_reading, than.event_interval_while_reading);
}

bool KnownPace::merge(EnginePace const& observed)
{
    auto const part = credible_part(observed);
    bool const is_news = is_noticeably_quicker(part, this->told);
    this->reported = quicker(this->reported, part);
    this->told = quicker(this->told, part);
    return is_news;
}

bool KnownPace::merge_report(SlownessReading const& reading)
{
    if (this->report && reading.observed_at < this->report->observed_at + min_report_distance)
        return false;
    this->report = reading;
    return true;
}

template<typename T>
static std::optional<T> first_of(std::optional<T> const& settled, std::optional<T> const& other)
{
    return settled ? settled : other;
}

/// The values of `settled`, and those of `other` where it has none.
static EnginePace first_of(EnginePace const& settled, EnginePace const& other)
{
    return { first_of(settled.event_interval, other.event_interval),
        first_of(settled.event_interval_while_reading, other.event_interval_while_reading),
        first_of(settled.prompt_tokens_per_second, other.prompt_tokens_per_second) };
}

EnginePace KnownPace::observed() const
{
    return first_of(this->own.settled_pace(), quicker(this->own.pace(), this->reported));
}

EnginePace KnownPace::value() const { return first_of(this->observed(), this->derived); }

}
