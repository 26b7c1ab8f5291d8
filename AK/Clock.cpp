/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Types.h>
#include <atomic>
#include <ctime>

namespace AK {

static std::atomic<Duration::rep> simulated_suspension { 0 };

BootClock::time_point BootClock::now() noexcept
{
    ::timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    auto const since_start = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(since_start + Duration(simulated_suspension.load(std::memory_order_relaxed)));
}

void BootClock::simulate_suspension(Duration span) noexcept { simulated_suspension += span.count(); }

}
