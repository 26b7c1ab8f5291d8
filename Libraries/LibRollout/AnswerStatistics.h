/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibRollout/Rollout.h>
#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <map>

namespace Rollout {

/// Counts of durations in buckets of a logarithmic scale. The counts of several hosts can be added.
class DurationCounts {
public:
    static constexpr size_t bucket_count = 32;
    using Buckets = std::array<u64, bucket_count>;

    void record(Duration);
    void add(DurationCounts const&);
    /// Subtracts the counts of an earlier state of the same statistics.
    void subtract(DurationCounts const&);
    [[nodiscard]] u64 total() const;
    /// The number of recorded durations in buckets from `first` on.
    [[nodiscard]] u64 count_from(size_t first) const;
    /// The first bucket of which all durations are at least `factor` times as long as this quantile.
    [[nodiscard]] size_t bucket_above(double quantile, double factor) const;
    [[nodiscard]] Buckets const& buckets() const { return this->counts; }
    [[nodiscard]] Buckets& buckets() { return this->counts; }

private:
    Buckets counts {};
};

/// The answers of one version's backend servers to the requests of one route.
struct Answers {
    u64 count { 0 };
    /// Errors of the backend server, broken connections and unsigned successes.
    u64 failures { 0 };
    /// Time from the dispatch to the answer or to the first event.
    DurationCounts response_times;
    /// Mean time between events of a stream, sampled while it runs.
    DurationCounts event_gaps;

    void add(Answers const&);
    void subtract(Answers const&);
};

/// The answers of one route by version.
struct RouteAnswers {
    Answers former;
    Answers target;

    [[nodiscard]] Answers& of(Side side) { return side == Side::Target ? this->target : this->former; }
};

using AnswersByRoute = std::map<RouteName, RouteAnswers>;

void add(AnswersByRoute& sum, AnswersByRoute const& part);
/// The answers since an earlier state of the same statistics. Counts that have fallen, because a host has restarted,
/// count as zero.
AnswersByRoute since(AnswersByRoute const& now, AnswersByRoute const& earlier);

}
