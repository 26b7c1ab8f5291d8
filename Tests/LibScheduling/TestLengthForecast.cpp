/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibScheduling/LengthForecast.h>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <catch2/catch.hpp>

using Scheduling::ForecastKey;
using Scheduling::LengthBins;
using Scheduling::LengthForecasts;

static ForecastKey const summaries { OrganisationId("toll"), RouteName("summary"), ModelId("writer") };

/// Records one output, which is cancelled at `cut` tokens if it would be longer.
static void feed(LengthForecasts& forecasts, LengthForecasts::Index index, double length, double cut = 1e9)
{
    forecasts.start(index);
    auto reached = std::min(length, cut);
    forecasts.advance(index, 0, LengthBins::index(reached));
    if (length <= cut)
        forecasts.finish(index, length);
}

static std::vector<double> draw(double median, int count, u32 seed)
{
    boost::random::mt19937 random(seed);
    boost::random::lognormal_distribution<double> lengths(std::log(median), 0.7);
    std::vector<double> drawn;
    for (int i = 0; i < count; ++i)
        drawn.push_back(lengths(random));
    return drawn;
}

SCENARIO("bins cover all lengths in order")
{
    CHECK(LengthBins::index(0) == 0);
    for (size_t bin = 1; bin < LengthBins::count; ++bin) {
        CHECK(LengthBins::lower(bin) > LengthBins::lower(bin - 1));
        CHECK(LengthBins::index(LengthBins::lower(bin) + 0.01) == bin);
    }
    CHECK(LengthBins::index(1e9) == LengthBins::count - 1);
}

SCENARIO("the forecast follows the distribution of past outputs")
{
    LengthForecasts forecasts;
    auto index = forecasts.index_of(summaries);
    for (auto length : draw(100, 1500, 1))
        feed(forecasts, index, length);
    forecasts.refresh();
    CHECK(forecasts.curve(index).survival(0, 100) == Approx(0.5).margin(0.06));
    THEN("it is conditional on the tokens that an output has produced")
    {
        CHECK(forecasts.curve(index).survival(200, 50) < forecasts.curve(index).survival(0, 50));
        CHECK(forecasts.curve(index).expected_remaining(0) == Approx(128).epsilon(0.15));
    }
    WHEN("outputs become twice as long")
    {
        for (auto length : draw(200, 1200, 2))
            feed(forecasts, index, length);
        forecasts.refresh();
        THEN("so does the forecast") { CHECK(forecasts.curve(index).survival(0, 200) == Approx(0.5).margin(0.08)); }
    }
}

SCENARIO("cancelled outputs are not mistaken for short ones")
{
    LengthForecasts complete;
    LengthForecasts censored;
    auto complete_index = complete.index_of(summaries);
    auto censored_index = censored.index_of(summaries);
    int number = 0;
    for (auto length : draw(100, 3000, 3)) {
        feed(complete, complete_index, length);
        // Half of them are cancelled after 60 tokens.
        feed(censored, censored_index, length, ++number % 2 == 0 ? 60 : 1e9);
    }
    complete.refresh();
    censored.refresh();
    for (double tokens : { 50.0, 100.0, 200.0 })
        CHECK(censored.curve(censored_index).survival(0, tokens)
            == Approx(complete.curve(complete_index).survival(0, tokens)).margin(0.06));
}

SCENARIO("the forecast of a new organisation is that of the others on the same model")
{
    LengthForecasts forecasts;
    auto known = forecasts.index_of(summaries);
    for (auto length : draw(30, 1500, 4))
        feed(forecasts, known, length);
    auto fresh = forecasts.index_of({ OrganisationId("hanak"), RouteName("other"), ModelId("writer") });
    forecasts.refresh();
    CHECK(forecasts.curve(fresh).survival(0, 30) == Approx(forecasts.curve(known).survival(0, 30)).margin(0.05));
    THEN("the forecast on another model is the prior")
    {
        auto other_model = forecasts.index_of({ OrganisationId("hanak"), RouteName("other"), ModelId("reader") });
        forecasts.refresh();
        CHECK(forecasts.curve(other_model).survival(0, 100) == Approx(0.5).margin(0.01));
    }
}
