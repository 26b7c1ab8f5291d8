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

/// The loop sleeps by a clock that stands still while the machine is suspended; it wakes so often to see whether a
/// timer was due meanwhile.
struct BootWaitTraits {
    static constexpr Duration max_sleep = 100ms;

    static Duration to_wait_duration(Duration const& duration) { return std::min(duration, max_sleep); }
    static Duration to_wait_duration(Instant const& instant) { return to_wait_duration(instant - BootClock::now()); }
};

/// A timer whose time goes on while the machine is suspended.
using Timer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}
