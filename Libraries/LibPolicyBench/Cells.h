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

/// One run: a policy on a scenario with a seed.
struct Cell {
    std::string policy;
    Scenario scenario;
    u32 seed { 0 };
};

struct CellResult {
    Cell cell;
    Measures measures;
};

/// The names that make_dispatcher() accepts.
std::vector<std::string> const& policy_names();
/// Aborts on an unknown name.
MakeDispatcher make_dispatcher(std::string const& policy, u32 seed);

/// Measures the rate that load 1 refers to: requests per second completed under permanent overload, in order of
/// arrival, by clairvoyant admission.
double measure_capacity(Scenario const&);

/// Runs the cells on all processors. The results are in the order of the cells and do not depend on the number of
/// processors.
std::vector<CellResult> run_cells(std::vector<Cell> const&);

/// Seeds for tuning constants and seeds for reporting results. The two sets are disjoint.
std::vector<u32> tuning_seeds(bool quick);
std::vector<u32> reporting_seeds(bool quick);

std::string to_json(CellResult const&);

}
