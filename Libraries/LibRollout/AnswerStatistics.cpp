/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/AnswerStatistics.h>
#include <algorithm>
#include <numeric>

namespace Rollout {

/// From half a millisecond to two minutes, in steps of about a half more each.
static constexpr double min_seconds = 5e-4;
static constexpr double max_seconds = 120;

static auto const& axis()
{
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static Axis const axis(DurationCounts::bucket_count, min_seconds, max_seconds);
    return axis;
}

static size_t bucket_of(double seconds)
{
    auto const index = axis().index(std::max(seconds, min_seconds));
    return static_cast<size_t>(std::clamp<int>(index, 0, DurationCounts::bucket_count - 1));
}

static u64 difference(u64 now, u64 earlier) { return now - std::min(now, earlier); }

void DurationCounts::record(Duration duration) { ++this->counts[bucket_of(AK::to_seconds(duration))]; }

void DurationCounts::add(DurationCounts const& other)
{
    for (size_t i = 0; i < bucket_count; ++i)
        this->counts[i] += other.counts[i];
}

void DurationCounts::subtract(DurationCounts const& earlier)
{
    for (size_t i = 0; i < bucket_count; ++i)
        this->counts[i] = difference(this->counts[i], earlier.counts[i]);
}

u64 DurationCounts::total() const { return this->count_from(0); }

u64 DurationCounts::count_from(size_t first) const
{
    auto const begin = this->counts.begin() + static_cast<std::ptrdiff_t>(std::min(first, bucket_count));
    return std::accumulate(begin, this->counts.end(), u64 { 0 });
}

size_t DurationCounts::bucket_above(double quantile, double factor) const
{
    auto const wanted = quantile * static_cast<double>(this->total());
    u64 seen = 0;
    size_t bucket = 0;
    while (bucket + 1 < bucket_count) {
        seen += this->counts[bucket];
        if (static_cast<double>(seen) >= wanted)
            break;
        ++bucket;
    }
    auto const upper_seconds = axis().bin(static_cast<int>(bucket)).upper();
    return std::min(bucket_count, bucket_of(upper_seconds * factor) + 1);
}

void Answers::add(Answers const& other)
{
    this->count += other.count;
    this->failures += other.failures;
    this->response_times.add(other.response_times);
    this->event_gaps.add(other.event_gaps);
}

void Answers::subtract(Answers const& earlier)
{
    this->count = difference(this->count, earlier.count);
    this->failures = difference(this->failures, earlier.failures);
    this->response_times.subtract(earlier.response_times);
    this->event_gaps.subtract(earlier.event_gaps);
}

void add(AnswersByRoute& sum, AnswersByRoute const& part)
{
    for (auto const& [route, answers] : part) {
        sum[route].former.add(answers.former);
        sum[route].target.add(answers.target);
    }
}

AnswersByRoute since(AnswersByRoute const& now, AnswersByRoute const& earlier)
{
    auto result = now;
    for (auto const& [route, answers] : earlier) {
        auto found = result.find(route);
        if (found == result.end())
            continue;
        found->second.former.subtract(answers.former);
        found->second.target.subtract(answers.target);
    }
    return result;
}

}
