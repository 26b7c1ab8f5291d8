/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/StopSignal.h>
#include <string>

namespace StandIns {

/// Parses the flags of a stand-in's main() and blocks the stop signals; see Core::StopSignal. wait() on the result
/// returns when one of them arrives.
Core::StopSignal prepare(int argc, char** argv, std::string const& usage);

}
