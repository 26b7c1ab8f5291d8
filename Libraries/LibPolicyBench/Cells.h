/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPolicyBench/Simulation.h>
#include <string>
#include <vector>

namespace PolicyBench {

/// One policy on one scenario with one seed.
struct Cell {
    std::string policy;
    Scenario scenario;
    u32 seed { 0 };
};

struct CellResult {
    Cell cell;
    Measures measures;
};

/// The names make_dispatcher() knows.
std::vector<std::string> const& policy_names();
/// Aborts on a name that is not known.
MakeDispatcher make_dispatcher(std::string const& policy, u32 seed);

/// Load 1: requests a second that are completed when there are always more, in order of arrival, by an admission that
/// knows every length.
double measure_capacity(Scenario const&);

/// Runs the cells on all processors. The results are in the order of the cells, and do not depend on how many
/// processors there are.
std::vector<CellResult> run_cells(std::vector<Cell> const&);

/// Seeds for choosing constants, and seeds for reporting. No seed is both.
std::vector<u32> tuning_seeds(bool quick);
std::vector<u32> reporting_seeds(bool quick);

std::string to_json(CellResult const&);

}
