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

/// Seeded workloads in virtual time for measuring the decision code. A model of engines' memory and steps, and of the
/// lag of what is known of them; of nothing else.
namespace PolicyBench {

/// Log-normal, cut off at `largest`; with a tail, one draw in `1 / tail_share` is Pareto instead.
struct LengthDistribution {
    double median { 100 };
    double sigma { 0.8 };
    double largest { 8000 };
    double tail_share { 0 };
    double tail_start { 500 };
    double tail_exponent { 1.2 };
};

/// Requests of one organisation on one route.
struct TrafficClass {
    std::string organisation;
    std::string route;
    /// Relative to the other classes.
    double share { 1 };
    LengthDistribution prompt;
    LengthDistribution output;
    double maximum_output { 4096 };
    Duration deadline { 10s };
    Scheduling::MeasureWeights weights;
    /// Number of different prompt starts, 0 for none in common.
    u32 prefixes { 0 };
};

struct Scenario {
    std::string name;
    std::vector<TrafficClass> classes;
    u32 engine_count { 10 };
    EngineModel::EngineParameters engine;
    /// Of the rate that the clairvoyant policy sustains.
    double load { 0.9 };
    Duration length { 300s };
    Duration warm_up { 60s };
    /// How old load reports are on arrival, and how often they come.
    Duration report_lag { 500ms };
    Duration report_period { 500ms };
    /// Outputs of all classes grow by this factor half-way.
    double shift_factor { 1 };
    /// This class sends so many times its share from a third of the run on.
    std::optional<std::string> greedy_organisation;
    double greedy_factor { 1 };
    /// One engine is reclaimed at half-time, with this much notice.
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

/// The requests of one run, in order of arrival.
std::vector<Request> draw_requests(Scenario const&, double rate, u32 seed);

/// The two users' shapes of today: ten engines, about ten organisations each.
Scenario toll_scenario();
Scenario hanak_scenario();

}
