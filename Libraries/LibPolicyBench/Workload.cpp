/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPolicyBench/Workload.h>
#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace PolicyBench {

using Random = boost::random::mt19937;

static double draw_length(LengthDistribution const& distribution, Random& random)
{
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    double value = 0;
    if (uniform(random) < distribution.tail_share)
        value = distribution.tail_start * std::pow(1 - uniform(random), -1 / distribution.tail_exponent);
    else
        value
            = boost::random::lognormal_distribution<double>(std::log(distribution.median), distribution.sigma)(random);
    return std::clamp(value, 1.0, distribution.max);
}

static std::vector<double> class_shares(Scenario const& scenario, bool is_greedy_time)
{
    std::vector<double> shares;
    for (auto const& traffic : scenario.classes) {
        auto is_greedy = is_greedy_time && scenario.greedy_organisation == traffic.organisation;
        shares.push_back(traffic.share * (is_greedy ? scenario.greedy_factor : 1));
    }
    return shares;
}

static double sum(std::vector<double> const& values)
{
    double total = 0;
    for (auto value : values)
        total += value;
    return total;
}

std::vector<Request> draw_requests(Scenario const& scenario, double rate, u32 seed)
{
    Random random(seed);
    auto ordinary = class_shares(scenario, false);
    auto greedy = class_shares(scenario, true);
    std::vector<Request> requests;
    Instant at;
    u64 key = 0;
    while (true) {
        auto progress = AK::to_seconds(at.time_since_epoch()) / AK::to_seconds(scenario.length);
        auto const& shares = progress > 1.0 / 3 ? greedy : ordinary;
        // The excess of a greedy organisation adds to the load of the others.
        boost::random::exponential_distribution<double> gap(rate * sum(shares) / sum(ordinary));
        at += AK::from_seconds(gap(random));
        if (at.time_since_epoch() >= scenario.length)
            return requests;
        boost::random::discrete_distribution<size_t> choose(shares);
        Request request;
        request.key = ++key;
        request.arrival = at;
        request.traffic_class = choose(random);
        auto const& traffic = scenario.classes[request.traffic_class];
        auto factor = progress > 0.5 ? scenario.shift_factor : 1;
        request.prompt = static_cast<i64>(draw_length(traffic.prompt, random));
        auto output = draw_length(traffic.output, random) * factor;
        request.output = static_cast<i64>(std::clamp(output, 1.0, traffic.maximum_output));
        if (traffic.prefixes > 0) {
            boost::random::uniform_int_distribution<u32> choose_prefix(0, traffic.prefixes - 1);
            request.prefix_hash = (request.traffic_class + 1) * 1000 + choose_prefix(random);
        }
        requests.push_back(request);
    }
}

static EngineModel::EngineParameters bench_engine()
{
    EngineModel::EngineParameters engine;
    engine.capacity_tokens = 12'000;
    return engine;
}

Scenario toll_scenario()
{
    Scenario scenario;
    scenario.name = "toll";
    scenario.engine = bench_engine();
    constexpr int plaza_count = 8;
    for (int i = 0; i < plaza_count; ++i) {
        // Three to thirty lines, read while they stream. A few plazas are large.
        TrafficClass summaries;
        summaries.organisation = "plaza-" + std::to_string(i);
        summaries.route = "summary";
        summaries.share = 6.0 / (i + 1);
        summaries.prompt = { 300, 0.6, 2000 };
        summaries.output = { 120, 0.8, 3000 };
        summaries.weights = { 0.2, 0.6, 0.2 };
        scenario.classes.push_back(summaries);
    }
    TrafficClass verdicts;
    verdicts.organisation = "claims";
    verdicts.route = "verdict";
    verdicts.share = 4;
    verdicts.prompt = { 2500, 0.5, 6000 };
    verdicts.output = { 25, 0.5, 400 };
    verdicts.weights = { 0.3, 0.2, 0.5 };
    scenario.classes.push_back(verdicts);
    return scenario;
}

Scenario hanak_scenario()
{
    Scenario scenario;
    scenario.name = "hanak";
    scenario.engine = bench_engine();
    constexpr int market_count = 10;
    for (int i = 0; i < market_count; ++i) {
        // A customer waits for the answer.
        TrafficClass answers;
        answers.organisation = "market-" + std::to_string(i);
        answers.route = "why-refused";
        answers.share = 5.0 / (i + 1);
        answers.prompt = { 500, 0.4, 3000 };
        answers.output = { 60, 0.7, 1500 };
        answers.deadline = 4s;
        answers.weights = { 0.6, 0.2, 0.2 };
        answers.prefixes = 4;
        scenario.classes.push_back(answers);
    }
    return scenario;
}

}
