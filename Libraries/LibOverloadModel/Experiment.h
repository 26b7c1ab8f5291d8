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

/// How the load comes over time.
enum class Pattern : u8 {
    /// The same all the time.
    Steady,
    /// Seven seconds of it, in the middle of a load of 0.7; only who asks from two seconds after them on is counted.
    AfterBurst,
    /// A sixth of the engines ends four times, 3.3 s apart, and empty ones come.
    EnginesReplaced,
};

/// One pattern with one way of deciding, one size and one seed.
struct Cell {
    ModelPool::Shape shape;
    Pattern pattern { Pattern::Steady };
    /// Tokens held over time that callers ask for, in parts of what the engines have.
    double load { 1 };
};

struct CellResult {
    Cell cell;
    ModelPool::Outcome outcome;
};

/// What is to be played: each way with each pattern, number of hosts, load and seed.
struct Experiment {
    std::vector<ModelPool::Policy> policies;
    std::vector<Pattern> patterns;
    std::vector<u32> hosts;
    std::vector<double> loads;
    Duration extra_update_delay { 0 };
    u32 seeds { 1 };

    /// Fails on keys and values that are not known, naming file, line and remedy.
    static Result<Experiment> read(Core::SettingsReader);
    [[nodiscard]] std::vector<Cell> cells() const;
};

/// Runs the cells on all processors. The results are in the order of the cells and do not depend on how many processors
/// there are. `on_progress` is called from any thread, one at a time, with how many are done.
std::vector<CellResult> run_cells(std::vector<Cell> const&, std::function<void(size_t)> const& on_progress);

std::string to_string(ModelPool::Policy);
std::string to_string(Pattern);
/// One line.
std::string to_json(CellResult const&);

/// Shares of those that asked, over all seeds, a line for each way, pattern, size and load.
std::string to_markdown(std::vector<CellResult> const&);
/// Blocks for gnuplot, one for each way, pattern and size with a title: load, in time, refused.
std::string to_plot_data(std::vector<CellResult> const&);

}
