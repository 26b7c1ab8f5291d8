/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <array>
#include <cmath>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// Bins of output length: about one token wide at the start, then four bins per doubling.
struct LengthBins {
    static constexpr size_t count = 56;
    static constexpr double offset = 8;
    static constexpr double bins_per_octave = 4;

    static double lower(size_t bin) { return offset * std::exp2(static_cast<double>(bin) / bins_per_octave) - offset; }
    static size_t index(double tokens)
    {
        auto bin = bins_per_octave * std::log2((std::max(tokens, 0.0) + offset) / offset);
        return std::min(static_cast<size_t>(bin), count - 1);
    }
};

/// Counts the outputs that entered and that finished in each bin, with more weight on newer ones. An output that was
/// cancelled, refused or is still running is censored: it counts up to the bin that it reached and not as finished
/// there, so that it is not mistaken for a short one (the Kaplan-Meier estimator, 1958, over bins).
class LengthHistogram {
public:
    /// The weight of an output falls to 1/e over the next `decay_length` finished outputs.
    explicit LengthHistogram(double decay_length);

    void enter(size_t bin) { this->entered[bin] += this->weight; }
    void finish(size_t bin);
    /// The probability that an output finishes in `bin` after entering it, shrunk towards `prior` while data is scarce.
    [[nodiscard]] double hazard(size_t bin, double prior, double prior_strength) const;

private:
    void renormalise();

    double growth;
    double weight { 1 };
    std::array<double, LengthBins::count> entered {};
    std::array<double, LengthBins::count> finished {};
};

/// A snapshot of the distribution of output lengths, precomputed for fast lookup.
class SurvivalCurve {
public:
    explicit SurvivalCurve(std::array<double, LengthBins::count> const& hazards);

    /// The probability that an output of `produced` tokens so far reaches `produced + more`.
    [[nodiscard]] double survival(double produced, double more) const
    {
        return std::exp(this->log_survival(produced + more) - this->log_survival(produced));
    }
    /// The expected number of further tokens of an output that has `produced` tokens so far.
    [[nodiscard]] double expected_remaining(double produced) const;

private:
    [[nodiscard]] double log_survival(double tokens) const;

    // The logarithm of the survival at the lower edge of each bin, and its slope per token within the bin.
    std::array<double, LengthBins::count + 1> log_at_edge {};
    std::array<double, LengthBins::count> slope {};
    std::array<double, LengthBins::count> residual_at_edge {};
};

/// Selects the histograms in which an output is counted.
struct ForecastKey {
    OrganisationId organisation;
    RouteName route;
    ModelId model;
    bool operator==(ForecastKey const&) const = default;
};

/// Forecasts of output length per organisation and route. The estimate of a route with little data is shrunk towards
/// that of its organisation on the same model, this one towards that of the model, and this one towards a fixed prior.
class LengthForecasts {
public:
    using Index = u32;

    /// Returns the index of `key`, which is created at first use.
    Index index_of(ForecastKey const& key);
    /// Records that an output of `index` grew from bin `from` (exclusive) to bin `to`.
    void advance(Index index, size_t from, size_t to);
    /// Records the start of an output: it enters the first bin.
    void start(Index index) { this->enter(index, 0); }
    /// Records that an output completed at `tokens`. advance() must have moved it to that bin before.
    void finish(Index index, double tokens);

    [[nodiscard]] SurvivalCurve const& curve(Index index) const { return this->leaves[index].curve; }
    /// Recomputes the curves that changed since the last call.
    void refresh();

    [[nodiscard]] size_t leaf_count() const { return this->leaves.size(); }

private:
    struct Leaf {
        LengthHistogram own;
        LengthHistogram* organisation;
        LengthHistogram* model;
        SurvivalCurve curve;
        bool is_stale { true };
    };

    void enter(Index index, size_t bin);
    [[nodiscard]] std::array<double, LengthBins::count> hazards_of(Leaf const&) const;
    static LengthHistogram& find_or_create(
        std::unordered_map<std::string, std::unique_ptr<LengthHistogram>>& histograms, std::string const& key);

    std::unordered_map<std::string, Index> index_of_key;
    std::unordered_map<std::string, std::unique_ptr<LengthHistogram>> model_histograms;
    std::unordered_map<std::string, std::unique_ptr<LengthHistogram>> organisation_histograms;
    std::vector<Leaf> leaves;
};

}
