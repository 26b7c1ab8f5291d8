/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <string>

namespace StandIns {

/// Flags and signals of a stand-in's main().
void prepare(int argc, char** argv, std::string const& usage);
/// Returns when the process is told to stop.
void wait_for_stop();

}
