/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibCore/Settings.h>
#include <functional>
#include <string>

namespace Node {

/// What every daemon's main() does first and last: flags, logs, settings, signals. `serve` is called with the settings
/// file and returns the exit code of the process. With --check_settings it is called with `only_check` set and must
/// read the settings and return without serving.
int run_daemon(int argc, char** argv, std::string const& usage,
    std::function<Result<void>(Core::SettingsReader&, bool only_check)> const& serve);

/// Calls `on_stop` on the loop when the process is told to stop (SIGTERM or SIGINT). Blocks these signals in the whole
/// process, so call it before any thread starts.
class StopSignal {
public:
    StopSignal();
    /// Waits for the signal on a thread of its own.
    void watch(std::function<void()> on_stop);
};

}
