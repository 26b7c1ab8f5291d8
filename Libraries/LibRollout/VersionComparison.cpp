/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/VersionComparison.h>
#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>

namespace Rollout {

/// A difference counts as a fault if chance produces it less often than this. Comparisons are repeated several times a
/// second, for each route.
static constexpr double max_chance = 1e-4;
/// A single failure is never a fault.
static constexpr u64 min_bad_answers = 3;
/// Failures are rare even in a sound version, and the former version's share is not known exactly.
static constexpr double min_failure_share = 0.02;
/// An answer is slow if it takes this many times as long as nearly all answers of the former version.
static constexpr double slow_factor = 1.5;
static constexpr double slow_quantile = 0.95;
static constexpr double min_slow_share = 0.05;
/// With fewer answers of the former version, its usual times are not known.
static constexpr u64 min_former_samples = 20;
/// Standard errors that are added to the former version's share.
static constexpr double confidence = 2;

struct Share {
    u64 bad { 0 };
    u64 all { 0 };
};

/// Upper bound of the probability of a bad answer, from the former version's answers.
static double expected_share(Share const& former, double min)
{
    if (former.all == 0)
        return min;
    auto const all = static_cast<double>(former.all);
    auto const share = static_cast<double>(former.bad) / all;
    return std::clamp(share + confidence * std::sqrt(share * (1 - share) / all), min, 1.0);
}

static bool is_worse(Share const& target, Share const& former, double min_share)
{
    if (target.bad < min_bad_answers)
        return false;
    auto const expected = expected_share(former, min_share);
    if (expected >= 1)
        return false;
    boost::math::binomial_distribution<double> const chance(static_cast<double>(target.all), expected);
    auto const as_bad = cdf(complement(chance, static_cast<double>(target.bad) - 1));
    return as_bad < max_chance;
}

static bool is_slower(DurationCounts const& target, DurationCounts const& former)
{
    if (former.total() < min_former_samples)
        return false;
    auto const slow_from = former.bucket_above(slow_quantile, slow_factor);
    return is_worse({ target.count_from(slow_from), target.total() }, { former.count_from(slow_from), former.total() },
        min_slow_share);
}

static std::string describe(std::string_view what, std::string_view where, Share const& target, Share const& former)
{
    auto text = [](Share const& share) { return std::to_string(share.bad) + " of " + std::to_string(share.all); };
    return std::string(what) + " (" + std::string(where) + "): " + text(target) + " answers, of the former version "
        + text(former);
}

static std::optional<std::string> fault_of(RouteAnswers const& answers, std::string_view where)
{
    auto const& [former, target] = answers;
    Share const target_failures { target.failures, target.count };
    Share const former_failures { former.failures, former.count };
    if (is_worse(target_failures, former_failures, min_failure_share))
        return describe("failures", where, target_failures, former_failures);
    auto slow = [&](std::string_view what, DurationCounts const& now, DurationCounts const& before) {
        auto const from = before.bucket_above(slow_quantile, slow_factor);
        return describe(
            what, where, { now.count_from(from), now.total() }, { before.count_from(from), before.total() });
    };
    if (is_slower(target.response_times, former.response_times))
        return slow("slow answers", target.response_times, former.response_times);
    if (is_slower(target.event_gaps, former.event_gaps))
        return slow("slow events", target.event_gaps, former.event_gaps);
    return {};
}

Comparison compare(AnswersByRoute const& answers)
{
    Comparison result;
    RouteAnswers total;
    for (auto const& [route, of_route] : answers) {
        result.former_answers += of_route.former.count;
        result.target_answers += of_route.target.count;
        total.former.count += of_route.former.count;
        total.former.failures += of_route.former.failures;
        total.target.count += of_route.target.count;
        total.target.failures += of_route.target.failures;
        if (!result.fault)
            result.fault = fault_of(of_route, "route " + route.value());
    }
    // Times differ between routes, so only failures are compared in total.
    if (!result.fault)
        result.fault = fault_of(total, "all routes");
    return result;
}

}
