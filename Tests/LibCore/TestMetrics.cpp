/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Metrics.h>
#include <catch2/catch.hpp>

SCENARIO("metrics are written in the Prometheus text format")
{
    Core::Metrics metrics;
    metrics.add("lilac_requests_total", 2);
    metrics.set("lilac_members", 3);
    for (int i = 1; i <= 100; ++i)
        metrics.observe("lilac_stall_seconds", std::chrono::milliseconds(i));
    auto text = metrics.text();
    CHECK(text.find("# TYPE lilac_requests_total counter\nlilac_requests_total 2\n") != std::string::npos);
    CHECK(text.find("lilac_members 3\n") != std::string::npos);
    CHECK(text.find("lilac_stall_seconds_bucket{le=\"+Inf\"} 100\n") != std::string::npos);
    CHECK(text.find("lilac_stall_seconds_count 100\n") != std::string::npos);
}

SCENARIO("a histogram's quantile is accurate to the width of a bucket")
{
    Core::LatencyHistogram histogram;
    CHECK(histogram.quantile_seconds(0.5) == 0);
    for (int i = 1; i <= 100; ++i)
        histogram.record(std::chrono::milliseconds(i));
    CHECK(histogram.quantile_seconds(0.95) == Approx(0.095).epsilon(0.15));
}
