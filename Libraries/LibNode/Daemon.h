/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibCore/Settings.h>
#include <LibNode/Node.h>
#include <functional>
#include <string>

namespace Node {

/// What every daemon's main() does: flags, logs and settings. `serve` is called with the settings file and returns when
/// the process is to end. With --check_settings it is called with `only_check` set and must read the settings and
/// return without serving. The result is the exit code of the process.
int run_daemon(int argc, char** argv, std::string const& usage,
    std::function<Result<void>(Core::SettingsReader&, bool only_check)> const& serve);

/// Begins a planned stop. Called on the loop, which must be stopped when all is done. Holds the daemon's own part,
/// which lives as long as this.
using BeginStop = std::function<void()>;

/// Makes the node and, by `make_part`, what is the daemon's own on it; serves until a planned stop is over. Errors:
/// InvalidSettings when it cannot start.
Result<void> serve_until_stopped(NodeSettings const&, std::function<Result<BeginStop>(Node&)> const& make_part);

}
