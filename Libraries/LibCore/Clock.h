/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <concepts>

namespace Core {

/// A source of time, passed in so that tests and the benchmark can replace it.
template<typename T>
concept Clock = requires(T const& clock)
{
    {
        clock.now()
        } -> std::convertible_to<Instant>;
    {
        clock.wall_milliseconds()
        } -> std::convertible_to<u64>;
};

/// The host's clocks.
class SystemClock {
public:
    [[nodiscard]] Instant now() const { return AK::BootClock::now(); }
    [[nodiscard]] u64 wall_milliseconds() const
    {
        auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<u64>(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
    }
};

/// A clock that advances only through advance().
class ManualClock {
public:
    [[nodiscard]] Instant now() const { return this->current; }
    [[nodiscard]] u64 wall_milliseconds() const
    {
        return static_cast<u64>(AK::to_milliseconds(this->current.time_since_epoch()));
    }
    void advance(Duration duration) { this->current += duration; }

private:
    Instant current { 1s };
};

static_assert(Clock<SystemClock> && Clock<ManualClock>);

}
