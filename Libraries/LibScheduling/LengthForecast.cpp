/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibScheduling/LengthForecast.h>
#include <algorithm>

namespace Scheduling {

// The number of finished outputs after which the weight of an old one has fallen to 1/e. A few hundred follow a shift
// of the lengths within minutes at the share of the load of one route, and still determine the tail. docs/POLICY.md has
// the results of other values.
static constexpr double histogram_decay_length = 400;
// The number of its own outputs with which a route outweighs its parent.
static constexpr double prior_strength = 8;
// The prior for a model without data: log-normal, half of the outputs longer than 100 tokens and one in ten longer than
// 470. A constant hazard in each bin has a mean of several thousand tokens; with it, a new pool refused requests that
// it had the capacity for.
static constexpr double prior_median = 100;
static constexpr double prior_sigma = 1.2;
static constexpr double max_hazard = 0.999;
static constexpr double renormalise_above = 1e9;

static double prior_survival(double tokens)
{
    if (tokens <= 0)
        return 1;
    return std::erfc(std::log(tokens / prior_median) / (prior_sigma * std::sqrt(2.0))) / 2;
}

static std::array<double, LengthBins::count> make_prior_hazards()
{
    std::array<double, LengthBins::count> hazards {};
    for (size_t bin = 0; bin < LengthBins::count; ++bin)
        hazards[bin] = 1 - prior_survival(LengthBins::lower(bin + 1)) / prior_survival(LengthBins::lower(bin));
    return hazards;
}

static auto const prior_hazards = make_prior_hazards();

LengthHistogram::LengthHistogram(double decay_length)
    : growth(std::exp(1 / decay_length))
{
}

void LengthHistogram::finish(size_t bin)
{
    this->finished[bin] += this->weight;
    // Raises the weight of later outputs, which is cheaper than scaling down all earlier ones at each step.
    this->weight *= this->growth;
    if (this->weight > renormalise_above)
        this->renormalise();
}

void LengthHistogram::renormalise()
{
    for (auto& count : this->entered)
        count /= this->weight;
    for (auto& count : this->finished)
        count /= this->weight;
    this->weight = 1;
}

double LengthHistogram::hazard(size_t bin, double prior, double strength) const
{
    auto finished_count = this->finished[bin] / this->weight;
    // An output that entered long ago weighs less than its recent end, so finished may exceed entered. The hazard must
    // not reach 1 because of this.
    auto entered_count = std::max(this->entered[bin] / this->weight, finished_count);
    auto hazard = (finished_count + strength * prior) / (entered_count + strength);
    return std::min(hazard, max_hazard);
}

SurvivalCurve::SurvivalCurve(std::array<double, LengthBins::count> const& hazards)
{
    for (size_t bin = 0; bin < LengthBins::count; ++bin) {
        auto log_step = std::log1p(-std::min(hazards[bin], max_hazard));
        auto width = LengthBins::lower(bin + 1) - LengthBins::lower(bin);
        this->log_at_edge[bin + 1] = this->log_at_edge[bin] + log_step;
        this->slope[bin] = log_step / width;
    }
    double residual = 0;
    for (size_t bin = LengthBins::count; bin-- > 0;) {
        auto rate = std::max(-this->slope[bin], 1e-12);
        auto width = LengthBins::lower(bin + 1) - LengthBins::lower(bin);
        auto passing = std::exp(-rate * width);
        residual = (1 - passing) / rate + passing * residual;
        this->residual_at_edge[bin] = residual;
    }
}

double SurvivalCurve::log_survival(double tokens) const
{
    auto bin = LengthBins::index(tokens);
    return this->log_at_edge[bin] + this->slope[bin] * (tokens - LengthBins::lower(bin));
}

double SurvivalCurve::expected_remaining(double produced) const
{
    auto bin = LengthBins::index(produced);
    auto rate = std::max(-this->slope[bin], 1e-12);
    auto left = std::max(LengthBins::lower(bin + 1) - produced, 0.0);
    auto passing = std::exp(-rate * left);
    auto beyond = bin + 1 < LengthBins::count ? this->residual_at_edge[bin + 1] : 0;
    return (1 - passing) / rate + passing * beyond;
}

LengthHistogram& LengthForecasts::find_or_create(
    std::unordered_map<std::string, std::unique_ptr<LengthHistogram>>& histograms, std::string const& key)
{
    auto& histogram = histograms[key];
    if (!histogram)
        histogram = std::make_unique<LengthHistogram>(histogram_decay_length);
    return *histogram;
}

LengthForecasts::Index LengthForecasts::index_of(ForecastKey const& key)
{
    // Names contain no line breaks, so the joined key is unique.
    auto organisation_key = key.organisation.value() + '\n' + key.model.value();
    auto leaf_key = organisation_key + '\n' + key.route.value();
    auto [entry, is_new] = this->index_of_key.try_emplace(leaf_key, static_cast<Index>(this->leaves.size()));
    if (is_new) {
        this->leaves.push_back(
            { LengthHistogram(histogram_decay_length), &find_or_create(this->organisation_histograms, organisation_key),
                &find_or_create(this->model_histograms, key.model.value()), SurvivalCurve(prior_hazards), true });
        this->leaves.back().curve = SurvivalCurve(this->hazards_of(this->leaves.back()));
    }
    return entry->second;
}

void LengthForecasts::enter(Index index, size_t bin)
{
    auto& leaf = this->leaves[index];
    leaf.own.enter(bin);
    leaf.organisation->enter(bin);
    leaf.model->enter(bin);
    leaf.is_stale = true;
}

void LengthForecasts::advance(Index index, size_t from, size_t to)
{
    for (auto bin = from + 1; bin <= to; ++bin)
        this->enter(index, bin);
}

void LengthForecasts::finish(Index index, double tokens)
{
    auto bin = LengthBins::index(tokens);
    auto& leaf = this->leaves[index];
    leaf.own.finish(bin);
    leaf.organisation->finish(bin);
    leaf.model->finish(bin);
    leaf.is_stale = true;
}

std::array<double, LengthBins::count> LengthForecasts::hazards_of(Leaf const& leaf) const
{
    std::array<double, LengthBins::count> hazards {};
    for (size_t bin = 0; bin < LengthBins::count; ++bin) {
        auto model_hazard = leaf.model->hazard(bin, prior_hazards[bin], prior_strength);
        auto organisation_hazard = leaf.organisation->hazard(bin, model_hazard, prior_strength);
        hazards[bin] = leaf.own.hazard(bin, organisation_hazard, prior_strength);
    }
    return hazards;
}

void LengthForecasts::refresh()
{
    for (auto& leaf : this->leaves) {
        if (!leaf.is_stale)
            continue;
        leaf.curve = SurvivalCurve(this->hazards_of(leaf));
        leaf.is_stale = false;
    }
}

}
