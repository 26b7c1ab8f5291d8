/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/Turnover.h>
#include <algorithm>
#include <cmath>

namespace Overload {

/// Shorter times are measurement errors.
static constexpr double min_seconds = 0.001;

void Turnover::record(EndedGeneration const& ended, Instant now)
{
    if (ended.tokens <= 0 || ended.prompt < 0 || ended.ran < Duration(0))
        return;
    auto const weight = this->remaining_weight(now);
    for (auto* sum : { &this->sums.generations, &this->sums.tokens, &this->sums.prompts, &this->sums.generation_seconds,
             &this->sums.token_seconds })
        *sum *= weight;
    this->updated_at = std::max(this->updated_at, now);
    auto const ran = std::max(min_seconds, AK::to_seconds(ended.ran));
    this->sums.generations += 1;
    this->sums.tokens += static_cast<double>(ended.tokens);
    this->sums.prompts += static_cast<double>(ended.prompt);
    this->sums.generation_seconds += ran;
    // The output grows at a constant pace.
    this->sums.token_seconds += static_cast<double>(ended.prompt + ended.tokens) / 2 * ran;
}

std::optional<double> Turnover::released_part(Instant now) const
{
    if (!this->is_known(now))
        return {};
    return this->sums.tokens / this->sums.token_seconds;
}

std::optional<double> Turnover::ending_part(Instant now) const
{
    if (!this->is_known(now))
        return {};
    return this->sums.generations / this->sums.generation_seconds;
}

std::optional<double> Turnover::read_per_generation(Instant now) const
{
    if (!this->is_known(now))
        return {};
    return this->sums.prompts / this->sums.generation_seconds;
}

bool Turnover::is_known(Instant now) const
{
    return this->sums.generations * this->remaining_weight(now) >= min_generations;
}

double Turnover::remaining_weight(Instant now) const
{
    auto const age = std::max<Duration>(Duration(0), now - this->updated_at);
    return std::exp(-AK::to_seconds(age) / AK::to_seconds(time_constant));
}

}
