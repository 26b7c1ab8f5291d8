/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

namespace AK {

/// Limits each sleep of the event loop. The loop sleeps on a clock that stops while the machine is suspended, and so
/// has to check at least once per `max_sleep` whether a timer expired during a suspension.
struct BootWaitTraits {
    static constexpr Duration max_sleep = 100ms;

    static Duration to_wait_duration(Duration const& duration) { return std::min(duration, max_sleep); }
    static Duration to_wait_duration(Instant const& instant) { return to_wait_duration(instant - BootClock::now()); }
};

/// A timer that also counts the time during which the machine is suspended.
using Timer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}
