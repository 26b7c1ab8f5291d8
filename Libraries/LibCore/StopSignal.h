/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <functional>

namespace Core {

/// SIGTERM and SIGINT, which tell a process to stop. Blocks both in the whole process, so make it before any thread
/// starts. SIGPIPE is ignored: a peer that closes its connection must not end the process.
class StopSignal {
public:
    StopSignal();

    /// Returns when the process is told to stop.
    void wait();
    /// Waits on a thread of its own and calls `on_stop` there.
    void watch(std::function<void()> on_stop);
};

}
