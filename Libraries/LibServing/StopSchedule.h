/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

namespace Serving {

/// The timetable of a planned stop: until when connections are accepted, which requests are still accepted, and when
/// the last responses are sent.
class StopSchedule {
public:
    /// `grace`: time from the stop signal until the process is killed.
    StopSchedule(Instant begun_at, Duration grace)
        : begun_at(begun_at)
        , grace(grace)
    {
    }

    [[nodiscard]] bool must_stop_accepting_connections(Instant now) const
    {
        return now >= this->begun_at + load_balancer_delay;
    }
    /// Whether a request that gets its response by `deadline` may be accepted. The process ends too early for others,
    /// whose callers are better served by another host.
    [[nodiscard]] bool may_accept(Instant deadline) const { return deadline <= this->responses_due(); }
    /// When requests in progress get a response even if no backend server has responded.
    [[nodiscard]] Instant responses_due() const { return this->begun_at + this->grace - last_responses_margin; }
    /// When the process ends at the latest.
    [[nodiscard]] Instant process_ends() const { return this->begun_at + this->grace - end_margin; }

private:
    /// Time that the load balancer in front of the hosts may take to notice that a host is not ready: two health
    /// checks, sent a second apart, and their responses.
    static constexpr Duration load_balancer_delay = 2500ms;
    /// Part of the grace period that is reserved for the last responses, also on a host that is slow.
    static constexpr Duration last_responses_margin = 300ms;
    /// The process ends this long before it would be killed.
    static constexpr Duration end_margin = 100ms;

    Instant begun_at;
    Duration grace;
};

}
