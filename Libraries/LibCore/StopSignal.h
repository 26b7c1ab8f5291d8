/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <functional>

namespace Core {

/// Waits for SIGTERM or SIGINT, the requests to stop the process. The constructor blocks both signals in the calling
/// thread and all threads that it starts later, so construct it before any thread starts. It also ignores SIGPIPE, so
/// that a peer that closes its connection does not terminate the process.
class StopSignal {
public:
    StopSignal();

    /// Blocks until one of the signals arrives.
    void wait();
    /// Waits on a new, detached thread and calls `on_stop` there.
    void watch(std::function<void()> on_stop);
};

}
