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

/// Bins of output length: about one token wide at the start, then four to each doubling.
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

/// How outputs ended, bin by bin: how many entered a bin and how many finished in it, newer ones weighing more. What
/// was cancelled, refused or is still running counts where it got to and no further, so that such outputs do not pass
/// for short ones (the estimator of Kaplan and Meier, 1958, over bins).
class LengthHistogram {
public:
    /// `memory` is how many finished outputs it takes for the weight of an old one to fall to 1/e.
    explicit LengthHistogram(double memory);

    void enter(size_t bin) { this->entered[bin] += this->weight; }
    void finish(size_t bin);
    /// The chance to finish in `bin` after entering it, drawn towards `prior` while there is little data.
    [[nodiscard]] double hazard(size_t bin, double prior, double prior_strength) const;

private:
    void renormalise();

    double growth;
    double weight { 1 };
    std::array<double, LengthBins::count> entered {};
    std::array<double, LengthBins::count> finished {};
};

/// The distribution of output length as of one moment, for fast lookup.
class SurvivalCurve {
public:
    explicit SurvivalCurve(std::array<double, LengthBins::count> const& hazards);

    /// The chance that an output that has reached `produced` tokens reaches `produced + more`.
    [[nodiscard]] double survival(double produced, double more) const
    {
        return std::exp(this->log_survival(produced + more) - this->log_survival(produced));
    }
    /// Expected tokens still to come after `produced`.
    [[nodiscard]] double expected_remaining(double produced) const;

private:
    [[nodiscard]] double log_survival(double tokens) const;

    // Logarithm of the survival at the lower edge of each bin, and how it falls per token within it.
    std::array<double, LengthBins::count + 1> log_at_edge {};
    std::array<double, LengthBins::count> slope {};
    std::array<double, LengthBins::count> residual_at_edge {};
};

/// Which histograms an output counts in.
struct ForecastKey {
    OrganisationId organisation;
    RouteName route;
    ModelId model;
    bool operator==(ForecastKey const&) const = default;
};

/// Forecasts of output length per organisation and route. A route with little data is drawn towards its
/// organisation's outputs on the model, those towards the model's, and those towards a fixed prior.
class LengthForecasts {
public:
    using Index = u32;

    /// The index of `key`, made at first use.
    Index index_of(ForecastKey const& key);
    /// The output counted by `index` went on from bin `from` (exclusive) to bin `to`.
    void advance(Index index, size_t from, size_t to);
    /// An output starts: it enters the first bin.
    void start(Index index) { this->enter(index, 0); }
    /// It finished by itself after `tokens`; advance() must have brought it to that bin.
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
