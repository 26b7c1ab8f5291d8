/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

namespace Core {

/// A histogram of durations from 0.1 ms to 1,000 s with logarithmic buckets.
class LatencyHistogram {
public:
    LatencyHistogram();
    void record(Duration);
    /// Returns the upper bound of the bucket that contains the quantile, in seconds; 0 if the histogram is empty.
    [[nodiscard]] double quantile_seconds(double quantile) const;
    [[nodiscard]] u64 count() const { return this->total_count; }
    [[nodiscard]] double sum_seconds() const { return this->total_seconds; }

    struct Bucket {
        double upper_seconds;
        u64 cumulative_count;
    };
    [[nodiscard]] std::vector<Bucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram;
    u64 total_count { 0 };
    double total_seconds { 0 };
};

/// The metrics of one process. A metric is created at its first use. Thread safe.
class Metrics {
public:
    void add(std::string const& counter, u64 amount = 1);
    void set(std::string const& gauge, double value);
    void observe(std::string const& histogram, Duration);
    [[nodiscard]] u64 counter(std::string const& name) const;
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, u64> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, LatencyHistogram> histograms;
};

}
