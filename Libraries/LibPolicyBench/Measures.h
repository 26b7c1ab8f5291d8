/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

namespace PolicyBench {

/// Histogram of durations from 0.1 ms to 1,000 s with a resolution of better than one per cent, fine enough for ratios
/// between policies.
class DurationHistogram {
public:
    DurationHistogram();
    void record(Duration);
    [[nodiscard]] double quantile(double quantile) const;
    [[nodiscard]] u64 count() const { return this->total; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram;
    u64 total { 0 };
};

/// The results of one run of a policy on a workload, over the time after warm-up.
struct Measures {
    DurationHistogram stall;
    DurationHistogram gap;
    std::map<std::string, DurationHistogram> stall_of_organisation;
    std::map<std::string, double> tokens_of_organisation;
    std::map<std::string, u64> refusals_of_organisation;
    std::map<std::string, u64> arrivals_of_organisation;
    u64 arrivals { 0 };
    u64 refusals { 0 };
    u64 completions { 0 };
    /// Generations whose first token came within the deadline.
    u64 good { 0 };
    /// Generations lost with a reclaimed engine after tokens were delivered.
    u64 lost { 0 };
    u64 preemptions { 0 };
    double measured_seconds { 0 };

    [[nodiscard]] double preemptions_per_thousand() const
    {
        return this->completions
            ? 1000.0 * static_cast<double>(this->preemptions) / static_cast<double>(this->completions)
            : 0;
    }
    [[nodiscard]] double goodput() const { return static_cast<double>(this->good) / this->measured_seconds; }
};

}
