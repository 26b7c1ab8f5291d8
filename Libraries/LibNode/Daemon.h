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

/// Runs the common part of every daemon's main(): flags, logs and settings. Calls `serve` with the settings file;
/// `serve` returns when the process is to exit. With --check_settings, `only_check` is set, and `serve` must read the
/// settings and return without serving. Returns the exit code of the process.
int run_daemon(int argc, char** argv, std::string const& usage,
    std::function<Result<void>(Core::SettingsReader&, bool only_check)> const& serve);

/// Begins a planned stop. Called on the event loop, and must stop the loop when everything is done. Owns the daemon's
/// service, which lives as long as this function object.
using BeginStop = std::function<void()>;

/// Creates the node and, with `make_service`, the daemon's own service on it. Serves until a planned stop is complete.
/// Errors: InvalidSettings when the daemon cannot start.
Result<void> serve_until_stopped(NodeSettings const&, std::function<Result<BeginStop>(Node&)> const& make_service);

}
