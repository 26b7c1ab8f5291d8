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

/// How fast an engine of one service works that reports the usual slowness. The time that all work takes is
/// proportional to the reported slowness, so this tells the speed of an engine from a single report.
class ServicePace {
public:
    /// Records a steady interval of an engine that reported `slowness` at that time.
    void record_interval(EventInterval const&, Slowness slowness);
    /// Records the time from a dispatch to the first event, for a prompt that the engine could read at once and alone.
    void record_prompt(TokenCount prompt, Duration time, Slowness slowness);
    /// Applies what another host has observed of an engine that reported `slowness`. It counts only for values of which
    /// this host has too few observations of its own.
    void record_reported(EnginePace const&, Slowness slowness);
    /// The pace of an engine that usually reports `slowness`. A value is empty until it has been observed a few times.
    [[nodiscard]] EnginePace pace_at(Slowness) const;

private:
    /// A change of the slowness during an observation falsifies it, in either direction.
    using TypicalSeconds = SampledQuantile<1, 2>;

    TypicalSeconds event_seconds;
    TypicalSeconds event_seconds_while_reading;
    TypicalSeconds seconds_per_prompt_token;
};

}
