/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/PoolPace.h>
#include <LibOverload/SlownessDistribution.h>
#include <map>

namespace Overload {

/// A generation that is to be placed, as far as the pauses between the events of streams depend on it.
struct StreamDemand {
    /// Prompt tokens that the engine has to read; 0 for a generation that resumes from a copy of its memory.
    double unread_tokens { 0 };
    /// Events that it will stream from now on.
    double expected_events { 0 };
    /// The goal of its route for the maximum time between two events.
    Duration goal { 0 };
    /// The strictest such goal of the streams that may run beside it.
    Duration goal_of_others { 0 };
    /// Time left until its first event is due; empty if it has had its first event.
    std::optional<Duration> first_event_due_in {};
};

/// The work at an engine, as far as pauses depend on it.
struct EngineStreams {
    /// Number of streams that run on the engine.
    double streams { 0 };
    /// Prompt tokens that the engine reads before the new prompt.
    double unread_tokens { 0 };
};

/// What a placement is expected to do to the pauses of streams.
struct PauseEstimate {
    /// Time between two events of the new stream while the engine reads a prompt, at the usual slowness.
    Duration pause { 0 };
    /// Time until the engine has read the new prompt, at the usual slowness.
    Duration first_event_wait { 0 };
    /// Number of streams that run on the engine and become late because the engine reads the new prompt.
    double caused { 0 };
    /// Probability that the new stream itself becomes late, by a pause or by its first event.
    double own { 0 };

    [[nodiscard]] double late_streams() const { return this->caused + this->own; }
};

/// Estimates how many streams become late, that is pause for longer than their goal, if a generation is placed on an
/// engine. A stream pauses longest if the engine reads a prompt while other programs slow its machine down; both at
/// once may exceed the goal where neither does alone.
class PauseForecast {
public:
    /// `reading_share` is the share of time in which an engine of the pool reads a prompt. Keeps a reference to
    /// `slowness`.
    PauseForecast(SlownessDistribution const& slowness, StreamDemand const&, double reading_share);

    [[nodiscard]] PauseEstimate estimate(FullPace const&, EngineStreams const&) const;

private:
    [[nodiscard]] double late_because_of_prompt(FullPace const&) const;
    [[nodiscard]] double late_by_a_pause(FullPace const&) const;
    [[nodiscard]] double late_with_first_event(Duration wait) const;
    /// The share of time in which work is slower than usual by more than this factor.
    [[nodiscard]] double share_above(double limit) const;
    /// The share of time in which events that usually take `interval` exceed `goal`.
    [[nodiscard]] double share_over(Duration interval, Duration goal) const;

    SlownessDistribution const& slowness;
    StreamDemand demand;
    double reading_share;
    /// By the limit of the slowness, in hundredths. The paces of a pool's engines differ little.
    mutable std::map<int, double> known_shares;
};

}
