/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPolicyBench/Measures.h>
#include <algorithm>

namespace PolicyBench {

static constexpr unsigned bin_count = 2000;
static constexpr double min_seconds = 1e-4;
static constexpr double max_seconds = 1e3;

DurationHistogram::DurationHistogram()
    : histogram(boost::histogram::make_histogram(Axis(bin_count, min_seconds, max_seconds)))
{
}

void DurationHistogram::record(Duration duration)
{
    this->histogram(std::max(AK::to_seconds(duration), min_seconds));
    ++this->total;
}

double DurationHistogram::quantile(double quantile) const
{
    auto wanted = quantile * static_cast<double>(this->total);
    double cumulative = 0;
    for (auto&& cell : boost::histogram::indexed(this->histogram)) {
        cumulative += *cell;
        if (cumulative >= wanted && cumulative > 0)
            return cell.bin().upper();
    }
    return 0;
}

}
