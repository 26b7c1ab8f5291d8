/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "CommaList.h"
#include <LibPolicyBench/Cells.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_bool(quick, false, "one seed and shorter runs");
DEFINE_bool(tuning, false, "use the tuning seeds instead of the reporting seeds");
DEFINE_string(
    policies, "", "comma-separated policies to run; all if empty; forecast:name=value:name=value overrides constants");
DEFINE_string(loads, "0.7,0.9,1.0,1.2", "comma-separated loads, as shares of capacity");
DEFINE_string(shapes, "toll,hanak", "comma-separated workload shapes");
DEFINE_string(variations, "plain,tail,shift,greedy,reclaim,lag,lostcache", "comma-separated variations of each shape");
DEFINE_string(output, "", "folder for cells.jsonl and table.md");

using PolicyBench::Cell;
using PolicyBench::Scenario;

static Scenario vary(Scenario scenario, std::string const& variation)
{
    if (variation != "plain")
        scenario.name += '+' + variation;
    if (variation == "tail") {
        for (auto& traffic : scenario.classes)
            traffic.output.tail_share = 0.05;
    } else if (variation == "shift") {
        scenario.shift_factor = 2;
    } else if (variation == "greedy") {
        // The largest organisation sends four times its usual load.
        scenario.greedy_organisation = scenario.classes.front().organisation;
        scenario.greedy_factor = 4;
    } else if (variation == "reclaim") {
        scenario.reclaim_notice = 5s;
    } else if (variation == "lag") {
        scenario.report_lag = 5s;
    } else if (variation == "lostcache") {
        scenario.lost_cache_events = 0.5;
    }
    if (FLAGS_quick) {
        scenario.length = 120s;
        scenario.warm_up = 30s;
    }
    return scenario;
}

static std::vector<Cell> plan_cells()
{
    auto policies = FLAGS_policies.empty() ? PolicyBench::policy_names() : split_at_commas(FLAGS_policies);
    auto seeds = FLAGS_tuning ? PolicyBench::tuning_seeds(FLAGS_quick) : PolicyBench::reporting_seeds(FLAGS_quick);
    std::vector<Cell> cells;
    for (auto const& shape : split_at_commas(FLAGS_shapes)) {
        for (auto const& variation : split_at_commas(FLAGS_variations)) {
            // Variations are measured at only one load, the one that the acceptance criteria refer to.
            for (auto const& load :
                variation == "plain" ? split_at_commas(FLAGS_loads) : std::vector<std::string> { "0.9" }) {
                auto scenario
                    = vary(shape == "toll" ? PolicyBench::toll_scenario() : PolicyBench::hanak_scenario(), variation);
                scenario.load = std::stod(load);
                for (auto const& policy : policies) {
                    for (auto seed : seeds)
                        cells.push_back({ policy, scenario, seed });
                }
            }
        }
    }
    return cells;
}

/// One row of the table: sums over the seeds, from which mean() computes the mean.
struct Row {
    double stall_p50 { 0 };
    double stall_p95 { 0 };
    double stall_p99 { 0 };
    double gap_p95 { 0 };
    double gap_p99 { 0 };
    double preemptions { 0 };
    double goodput { 0 };
    double refused_share { 0 };
    double lost { 0 };
    int count { 0 };

    void add(PolicyBench::Measures const& measures)
    {
        this->stall_p50 += measures.stall.quantile(0.5);
        this->stall_p95 += measures.stall.quantile(0.95);
        this->stall_p99 += measures.stall.quantile(0.99);
        this->gap_p95 += measures.gap.quantile(0.95);
        this->gap_p99 += measures.gap.quantile(0.99);
        this->preemptions += measures.preemptions_per_thousand();
        this->goodput += measures.goodput();
        this->refused_share += static_cast<double>(measures.refusals) / static_cast<double>(measures.arrivals);
        this->lost += static_cast<double>(measures.lost);
        ++this->count;
    }
    [[nodiscard]] double mean(double Row::*field) const { return this->*field / this->count; }
};

using RowKey = std::tuple<std::string, double, std::string>;

static void print_table(std::map<RowKey, Row> const& rows, std::vector<RowKey> const& order, std::ostream& out)
{
    out << "| scenario | load | policy | stall p50 ms | p95 ms | p99 ms | p95 / clairvoyant | gap p95 ms | gap p99 ms "
           "| "
           "p99 / clairvoyant | preemptions per 1,000 | goodput /s | refused % | lost |\n"
        << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
        << std::fixed;
    for (auto const& key : order) {
        auto const& [scenario, load, policy] = key;
        auto const& row = rows.at(key);
        auto clairvoyant = rows.find({ scenario, load, "clairvoyant" });
        auto ratio = [&](double Row::*field) {
            return clairvoyant == rows.end() ? 0 : row.mean(field) / clairvoyant->second.mean(field);
        };
        auto milliseconds = [&](double Row::*field) { return row.mean(field) * 1000; };
        out << "| " << scenario << " | " << std::setprecision(1) << load << " | " << policy << " | "
            << std::setprecision(0) << milliseconds(&Row::stall_p50) << " | " << milliseconds(&Row::stall_p95) << " | "
            << milliseconds(&Row::stall_p99) << " | " << std::setprecision(2) << ratio(&Row::stall_p95) << " | "
            << std::setprecision(1) << milliseconds(&Row::gap_p95) << " | " << milliseconds(&Row::gap_p99) << " | "
            << std::setprecision(2) << ratio(&Row::gap_p99) << " | " << row.mean(&Row::preemptions) << " | "
            << row.mean(&Row::goodput) << " | " << row.mean(&Row::refused_share) * 100 << " | " << std::setprecision(1)
            << row.mean(&Row::lost) << " |\n";
    }
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the scheduling policies on seeded workloads in virtual time, against baselines "
                            "and a clairvoyant policy that knows every output length.\n\n  policybench [--quick] "
                            "[--output FOLDER]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto results = PolicyBench::run_cells(plan_cells());
    std::map<RowKey, Row> rows;
    std::vector<RowKey> order;
    std::string lines;
    for (auto const& result : results) {
        lines += PolicyBench::to_json(result) + '\n';
        RowKey key(result.cell.scenario.name, result.cell.scenario.load, result.cell.policy);
        if (!rows.contains(key))
            order.push_back(key);
        rows[key].add(result.measures);
    }
    std::ostringstream table;
    print_table(rows, order, table);
    std::cout << table.str();
    if (!FLAGS_output.empty()) {
        std::ofstream(FLAGS_output + "/cells.jsonl") << lines;
        std::ofstream(FLAGS_output + "/table.md") << table.str();
    }
    return 0;
}
