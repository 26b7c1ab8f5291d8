/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/StopSignal.h>
#include <string>

namespace StandIns {

/// Parses the flags and installs the signal handlers of a stand-in's main(). wait() on the result returns when the
/// process receives a stop signal.
Core::StopSignal prepare(int argc, char** argv, std::string const& usage);

}
