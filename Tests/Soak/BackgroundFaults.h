/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Soak/Deployment.h>

namespace Soak {

/// A service keeps at least so many backend servers that take work.
inline constexpr size_t min_serving = 2;

/// A number from 0 to below `below`.
u32 draw_below(boost::random::mt19937&, u32 below);
Duration draw_between(boost::random::mt19937&, Duration shortest, Duration longest);

/// What goes on from the start of a seed's faults to their end, beside those that are drawn for times of their own.
/// None of it excuses a host anything. Each kind draws from numbers of its own, so that a seed's other faults do not
/// depend on it.
class BackgroundFaults {
public:
    BackgroundFaults(Http::asio::io_context&, Deployment&, u32 seed);

    void start();
    void end();

private:
    /// Halts one host after another for a moment, all the time. It is no harm and excuses nothing.
    void stall_hosts();
    /// Another writer spoils the entry of one backend server after another, all the time. The server lives
    /// on, so that it is no harm either.
    void corrupt_entries();
    void restore_entry();
    /// Backend servers turn all away for a moment and ask for back-off, all the time: one or all of a
    /// service, so that such times overlap.
    void request_back_off();
    /// One plain server at a time names a limit, all the time; others serve what it does not take.
    void advertise_limits();
    /// Does nothing once end() has been called.
    void after(Duration, std::function<void()>);

    Http::asio::io_context& loop;
    Deployment& deployment;
    boost::random::mt19937 stall_random;
    boost::random::mt19937 entry_random;
    boost::random::mt19937 limit_random;
    boost::random::mt19937 back_off_random;
    /// Whose entry is spoilt just now.
    RunnerInstance* corrupted_server { nullptr };
    /// Who names a limit just now.
    RunnerInstance* limited_server { nullptr };
    bool is_over { false };
};

}
