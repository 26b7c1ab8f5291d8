/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibOverload/EnginePace.h>
#include <LibOverload/EventGaps.h>
#include <LibOverload/SampledQuantile.h>
#include <LibOverload/Slowness.h>

namespace Overload {

/// Estimates the lasting speed of one process of an engine from the streams that one host relays. Momentary slowness
/// and work that the host doesn't know of make observations longer, so the estimates are low quantiles.
class PaceEstimator {
public:
    void record_interval(EventInterval const&);
    /// Records the time from a dispatch to the first event, for a prompt that the engine could read at once and alone.
    void record_prompt(TokenCount prompt, Duration time);
    [[nodiscard]] EnginePace pace() const { return this->pace_from(1); }
    /// Only the values that don't depend on a single observation.
    [[nodiscard]] EnginePace settled_pace() const { return this->pace_from(samples_of_settled); }

private:
    static constexpr size_t samples_of_settled = 4;
    [[nodiscard]] EnginePace pace_from(size_t min_samples) const;

    UsualValue event_seconds;
    UsualValue event_seconds_while_reading;
    UsualValue seconds_per_prompt_token;
};

/// The reading time of one prompt token; empty if the prompt is so short that most of the time is the connection's.
std::optional<double> seconds_per_prompt_token_of(TokenCount prompt, Duration time);

/// How slow an engine was during the latest events of a stream, compared with its lasting speed; empty if that speed or
/// the gaps are unknown.
std::optional<Slowness> observed_slowness(std::optional<EventInterval> const& latest, EnginePace const&);

}
