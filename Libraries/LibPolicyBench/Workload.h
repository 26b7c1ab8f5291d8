/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibEngineModel/EngineModel.h>
#include <LibScheduling/Tables.h>
#include <optional>
#include <string>
#include <vector>

/// Seeded workloads in virtual time for measuring the decision code. They model only the memory and the steps of
/// engines, and the delay of reports about them.
namespace PolicyBench {

/// Log-normal, clamped at `max`. A `tail_share` of the draws comes from a Pareto distribution instead.
struct LengthDistribution {
    double median { 100 };
    double sigma { 0.8 };
    double max { 8000 };
    double tail_share { 0 };
    double tail_start { 500 };
    double tail_exponent { 1.2 };
};

/// Requests of one organisation on one route.
struct TrafficClass {
    std::string organisation;
    std::string route;
    /// Share of the requests, relative to the other classes.
    double share { 1 };
    LengthDistribution prompt;
    LengthDistribution output;
    double maximum_output { 4096 };
    Duration deadline { 10s };
    Scheduling::MeasureWeights weights;
    /// Number of distinct prompt prefixes; 0 if prompts share none.
    u32 prefixes { 0 };
};

struct Scenario {
    std::string name;
    std::vector<TrafficClass> classes;
    u32 engine_count { 10 };
    EngineModel::EngineParameters engine;
    /// As a fraction of the rate that the clairvoyant policy sustains.
    double load { 0.9 };
    Duration length { 300s };
    Duration warm_up { 60s };
    /// Age of load reports on arrival, and the interval between them.
    Duration report_lag { 500ms };
    Duration report_period { 500ms };
    /// Outputs of all classes grow by this factor halfway through the run.
    double shift_factor { 1 };
    /// From a third of the run on, this organisation sends `greedy_factor` times its share.
    std::optional<std::string> greedy_organisation;
    double greedy_factor { 1 };
    /// The notice with which one engine is reclaimed, given halfway through the run.
    std::optional<Duration> reclaim_notice;
    /// Share of cache events that never arrive.
    double lost_cache_events { 0 };
};

struct Request {
    u64 key { 0 };
    size_t traffic_class { 0 };
    Instant arrival;
    i64 prompt { 0 };
    i64 output { 0 };
    u64 prefix_hash { 0 };
};

/// Draws the requests of one run, in order of arrival.
std::vector<Request> draw_requests(Scenario const&, double rate, u32 seed);

/// The workloads of the two current users: ten engines and about ten organisations each.
Scenario toll_scenario();
Scenario hanak_scenario();

}
