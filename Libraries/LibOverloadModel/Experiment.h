/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibOverloadModel/ModelPool.h>
#include <functional>
#include <string>
#include <vector>

namespace Core {
class SettingsReader;
}

namespace OverloadModel {

/// Course of the load over time.
enum class Pattern : u8 {
    /// Constant load.
    Steady,
    /// Seven seconds of the load, before and after it a load of 0.7. Counts only requests from two seconds after the
    /// burst on.
    AfterBurst,
    /// Four times, 3.3 s apart, a sixth of the engines terminates and empty ones replace them.
    EnginesReplaced,
    /// Constant load. One of ten organisations requests nine times as much as each other one.
    LargeOrganisation,
};

/// One run: a pattern with one policy, one number of hosts, one load and one seed.
struct Cell {
    ModelPool::Shape shape;
    Pattern pattern { Pattern::Steady };
    /// Requested tokens held over time, as a fraction of the capacity of the engines.
    double load { 1 };
};

struct CellResult {
    Cell cell;
    ModelPool::Outcome outcome;
};

/// An experiment combines each policy with each pattern, number of hosts, load and seed.
struct Experiment {
    std::vector<ModelPool::Policy> policies;
    std::vector<Pattern> patterns;
    std::vector<u32> hosts;
    std::vector<double> loads;
    Duration extra_update_delay { 0 };
    u32 seeds { 1 };

    /// Fails on unknown keys and values with a message that has the file, the line and a remedy.
    static Result<Experiment> read(Core::SettingsReader);
    [[nodiscard]] std::vector<Cell> cells() const;
};

/// Runs the cells on all processors. The results are in the order of the cells and do not depend on the number of
/// processors. `on_progress` is called with the number of finished cells, from any thread but never concurrently.
std::vector<CellResult> run_cells(std::vector<Cell> const&, std::function<void(size_t)> const& on_progress);

std::string to_string(ModelPool::Policy);
std::string to_string(Pattern);
/// Returns a single line.
std::string to_json(CellResult const&);

/// Shares of all requests, over all seeds, with a row for each policy, pattern, number of hosts and load.
std::string to_markdown(std::vector<CellResult> const&);
/// The shares of the more and the less urgent requests, of the requests refused while less than half of the slots were
/// taken, and the share in time of the worst-served organisation relative to that of all. Rows as above.
std::string claims_to_markdown(std::vector<CellResult> const&);
/// Titled blocks for gnuplot, one for each policy, pattern and number of hosts. Columns: load, in time, refused.
std::string to_plot_data(std::vector<CellResult> const&);

}
