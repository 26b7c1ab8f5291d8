/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <optional>
#include <vector>

namespace Overload {

/// The quantile `numerator / denominator` of the newest samples of a quantity.
template<size_t numerator, size_t denominator>
class SampledQuantile {
public:
    void record(double sample)
    {
        if (this->samples.size() < max_samples) {
            this->samples.push_back(sample);
            return;
        }
        this->samples[this->oldest] = sample;
        this->oldest = (this->oldest + 1) % max_samples;
    }

    /// Empty if there are fewer samples.
    [[nodiscard]] std::optional<double> value(size_t min_samples = 1) const
    {
        if (this->samples.empty() || this->samples.size() < min_samples)
            return {};
        auto sorted = this->samples;
        auto const nth = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) * numerator / denominator);
        std::ranges::nth_element(sorted, nth);
        return *nth;
    }

private:
    /// A quantile of this many varies little, and a lasting change shows after half of them.
    static constexpr size_t max_samples = 16;

    /// A ring, once it is full.
    std::vector<double> samples;
    size_t oldest { 0 };
};

/// The usual value of a quantity that is mostly observed right, sometimes too large, and rarely too small: the lowest
/// of a few samples, the lower quartile of many.
using UsualValue = SampledQuantile<1, 4>;

}
