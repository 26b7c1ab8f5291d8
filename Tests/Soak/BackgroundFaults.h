/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Soak/Deployment.h>

namespace Soak {

/// A service keeps at least this many backend servers that accept work.
inline constexpr size_t min_serving = 2;

/// A uniform number in [0, below).
u32 draw_below(boost::random::mt19937&, u32 below);
Duration draw_between(boost::random::mt19937&, Duration min, Duration max);

/// Faults that recur from the start of a seed's faults to their end, in addition to the scheduled ones. They exempt no
/// host from any check. Each kind has a random generator of its own, so that a seed's other faults do not depend on it.
class BackgroundFaults {
public:
    BackgroundFaults(Http::asio::io_context&, Deployment&, u32 seed);

    void start();
    void end();

private:
    /// Repeatedly halts a random host for a moment. This does not mark the host as affected by a fault.
    void stall_hosts();
    /// Repeatedly overwrites the entry of a random backend server, as another writer could. The server keeps running,
    /// so that this does not mark it as affected by a fault either.
    void corrupt_entries();
    void restore_entry();
    /// Repeatedly lets one or all backend servers of a service reject all requests for a moment and request back-off.
    /// Back-off times may overlap.
    void request_back_off();
    /// Keeps one plain server at a time advertising a limit; the others serve the requests beyond it.
    void advertise_limits();
    /// Repeatedly lets plain servers send responses that name no request while they run one. The servers stay sound
    /// otherwise.
    void send_stray_responses();
    /// Does nothing once end() has been called.
    void after(Duration, std::function<void()>);

    Http::asio::io_context& loop;
    Deployment& deployment;
    boost::random::mt19937 stall_random;
    boost::random::mt19937 entry_random;
    boost::random::mt19937 limit_random;
    boost::random::mt19937 back_off_random;
    boost::random::mt19937 stray_random;
    /// The server whose entry is currently corrupted, if any.
    RunnerInstance* corrupted_server { nullptr };
    /// The server that currently advertises a limit, if any.
    RunnerInstance* limited_server { nullptr };
    bool is_over { false };
};

}
