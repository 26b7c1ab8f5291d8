/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

namespace Overload {

/// How an unfinished request progresses, seen from the memory that it holds.
struct ReceiveState {
    /// Bytes of memory that it holds.
    u64 held { 0 };
    /// Bytes that have arrived in the last second or two.
    u64 recent { 0 };
    /// Time since it began to arrive.
    Duration age { 0 };

    /// A request that has just begun has had no time to progress.
    static constexpr Duration settling_time = 1s;
};

/// Whether `one` is given up before `other` when memory for requests runs out: the one for whose memory less arrives.
/// Requests that have just begun come last, and the latest of them first, since least of it has been sent.
inline bool is_shed_before(ReceiveState const& one, ReceiveState const& other)
{
    bool const is_new = one.age < ReceiveState::settling_time;
    bool const other_is_new = other.age < ReceiveState::settling_time;
    if (is_new != other_is_new)
        return other_is_new;
    if (is_new)
        return one.age < other.age;
    return one.recent * other.held < other.recent * one.held;
}

/// Counts the bytes of one request as they arrive.
class ReceiveProgress {
public:
    void begin(Instant now)
    {
        this->began = now;
        this->period_began = now;
        this->in_period = 0;
        this->in_last_period = 0;
    }
    void record(size_t bytes, Instant now)
    {
        this->roll(now);
        this->in_period += bytes;
    }
    [[nodiscard]] ReceiveState state(size_t held, Instant now)
    {
        this->roll(now);
        return { held, this->in_last_period + this->in_period, now - this->began };
    }

private:
    static constexpr Duration period = 1s;

    void roll(Instant now)
    {
        auto const passed = now - this->period_began;
        if (passed < period)
            return;
        this->in_last_period = passed < 2 * period ? this->in_period : 0;
        this->in_period = 0;
        this->period_began = now;
    }

    Instant began {};
    Instant period_began {};
    u64 in_period { 0 };
    u64 in_last_period { 0 };
};

}
