/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/OrganisationShares.h>
#include <algorithm>
#include <cmath>

namespace Overload {

static double decay(Duration age)
{
    return std::exp(-AK::to_seconds(age) / AK::to_seconds(DecayingTokens::time_constant));
}

/// Fewer tokens than this are those of generations that have ended long ago.
static constexpr double negligible_tokens = 10;

double DecayingTokens::at(Instant now) const { return this->tokens * decay(now - this->updated_at); }

void DecayingTokens::add(double added, Instant at)
{
    this->tokens = this->at(at) + added;
    this->updated_at = at;
}

/// The largest use that keeps the sum of all uses, each limited by what is requested, within `total`.
static double max_min_share(std::vector<double> requested, double total)
{
    std::ranges::sort(requested);
    auto left = total;
    for (size_t i = 0; i < requested.size(); ++i) {
        auto const equal_part = left / static_cast<double>(requested.size() - i);
        if (requested[i] >= equal_part)
            return equal_part;
        left -= requested[i];
    }
    return requested.empty() ? 0 : requested.back();
}

OrganisationShares::Own* OrganisationShares::own_of(OrganisationId const& organisation)
{
    if (this->own.size() >= max_organisations && !this->own.contains(organisation))
        return nullptr;
    return &this->own[organisation];
}

void OrganisationShares::record_placed(OrganisationId const& organisation, TokenCount tokens, Instant now)
{
    if (auto* known = this->own_of(organisation))
        known->placed.add(static_cast<double>(tokens.value()), now);
}

void OrganisationShares::record_lacking(OrganisationId const& organisation, TokenCount tokens, Instant now)
{
    auto* known = this->own_of(organisation);
    if (!known)
        return;
    known->lacking.add(static_cast<double>(tokens.value()), now);
    auto const before = std::exchange(known->lacking_at, now);
    // Otherwise the next regular update is early enough.
    if (before == Instant {} || now - before > lacking_time)
        this->share_at = {};
}

void OrganisationShares::apply(
    MemberId const& reporter, SignScope scope, std::vector<OrganisationTokens> const& reported, Instant now)
{
    if (this->reporters.size() >= max_reporters && !this->reporters.contains(reporter))
        return;
    Reporter entry { scope, {}, now };
    for (auto const& organisation : reported) {
        bool const is_usable = std::isfinite(organisation.tokens) && organisation.tokens > 0;
        if (is_usable && entry.tokens.size() < max_reported)
            entry.tokens[organisation.organisation] = organisation.tokens * decay(organisation.age);
    }
    this->reporters[reporter] = std::move(entry);
}

std::map<OrganisationId, double> OrganisationShares::use_of_all(Instant now, bool with_remote) const
{
    std::map<OrganisationId, double> sum;
    for (auto const& [organisation, own] : this->own)
        sum[organisation] += own.placed.at(now);
    for (auto const& [name, reporter] : this->reporters) {
        if (reporter.scope == SignScope::Domain && !with_remote)
            continue;
        for (auto const& [organisation, tokens] : reporter.tokens) {
            if (sum.size() < max_organisations || sum.contains(organisation))
                sum[organisation] += tokens * decay(now - reporter.at);
        }
    }
    return sum;
}

std::vector<OrganisationTokens> OrganisationShares::report(SignScope scope, Instant now) const
{
    std::vector<OrganisationTokens> reported;
    if (scope == SignScope::Domain) {
        for (auto const& [organisation, tokens] : this->use_of_all(now, false))
            reported.push_back({ organisation, tokens, Duration(0) });
    } else {
        for (auto const& [organisation, own] : this->own)
            reported.push_back({ organisation, own.placed.at(now), Duration(0) });
    }
    std::erase_if(reported, [](auto const& entry) { return entry.tokens < negligible_tokens; });
    std::ranges::stable_sort(reported, std::greater {}, &OrganisationTokens::tokens);
    if (reported.size() > max_reported)
        reported.resize(max_reported);
    return reported;
}

void OrganisationShares::update_share(Instant now)
{
    if (now - this->share_at < share_period)
        return;
    this->share_at = now;
    std::erase_if(this->own, [&](auto const& entry) {
        return entry.second.placed.at(now) + entry.second.lacking.at(now) < negligible_tokens;
    });
    std::erase_if(
        this->reporters, [&](auto const& entry) { return now - entry.second.at > 2 * DecayingTokens::time_constant; });
    this->use = this->use_of_all(now, true);
    double total = 0;
    std::vector<double> requested;
    for (auto const& [organisation, tokens] : this->use) {
        total += tokens;
        auto const known = this->own.find(organisation);
        requested.push_back(tokens + (known == this->own.end() ? 0 : known->second.lacking.at(now)));
    }
    this->share = max_min_share(std::move(requested), total);
    this->lacking_below_share.clear();
    for (auto const& [organisation, own] : this->own) {
        bool const is_lacking = own.lacking_at != Instant {} && now - own.lacking_at <= lacking_time;
        if (is_lacking && this->use[organisation] < this->share * (1 - tolerance))
            this->lacking_below_share.push_back(organisation);
    }
}

double OrganisationShares::use_of_share(OrganisationId const& organisation, Instant now)
{
    this->update_share(now);
    auto const known = this->use.find(organisation);
    if (known == this->use.end() || this->share <= 0)
        return 0;
    return known->second / this->share;
}

bool OrganisationShares::must_yield(OrganisationId const& organisation, Instant now)
{
    bool const is_above = this->use_of_share(organisation, now) > 1;
    return is_above && !this->lacking_below_share.empty();
}

}
