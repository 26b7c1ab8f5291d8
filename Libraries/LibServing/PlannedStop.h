/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/CallerServer.h>
#include <LibServing/ServingContext.h>

namespace Serving {

/// Graceful shutdown of the process after a stop signal. The host reports at once that it is not ready, but serves
/// requests until the load balancer has noticed. It then accepts no new connections, and ends when the last open one
/// has got its response or the grace period is nearly over. Requests that can't get their response by then are refused
/// when they are read.
class PlannedStop {
public:
    /// `on_end` is called once; the process ends with it.
    PlannedStop(ServingContext&, Http::CallerServer&, Http::CallerContext&, std::function<void()> on_end);

    void begin();

private:
    void check();
    /// Responds to all requests that are in progress, and closes the streams so that they don't look complete.
    void respond_to_remaining_requests();
    void finish();

    ServingContext& context;
    Http::CallerServer& callers;
    Http::CallerContext& callers_context;
    std::function<void()> on_end;
    AK::Timer timer;
};

}
