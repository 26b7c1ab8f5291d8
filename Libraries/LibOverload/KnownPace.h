/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/PaceEstimator.h>

namespace Overload {

/// Bounds of credible reading speeds, in prompt tokens per second.
inline constexpr double min_prompt_tokens_per_second = 1;
inline constexpr double max_prompt_tokens_per_second = 10'000'000;

/// The given pace without the values that are outside of the bounds.
EnginePace credible_part(EnginePace const&);

/// The quicker value of each kind. All errors of observation make an engine look slower, so the quicker one of two
/// observations is the better one. The result doesn't depend on the order of observations, nor on repeated ones.
EnginePace quicker(EnginePace const&, EnginePace const&);

/// Whether `pace` has a value that `than` lacks, or one that is noticeably quicker.
bool is_noticeably_quicker(EnginePace const& pace, EnginePace const& than);

/// The lasting speed of one start of an engine, as this host and other hosts have observed it.
class KnownPace {
public:
    /// This host's observations.
    PaceEstimator own;
    /// What this host concludes from the slowness that the engine usually reports. It counts only for values that no
    /// host has observed, and other hosts are not told.
    EnginePace derived;
    /// The slowness that the engine last reported to any host.
    std::optional<SlownessReading> report;

    /// Applies an observation of another host. Returns whether it is noticeably quicker than what the hosts knew.
    bool merge(EnginePace const& observed);
    /// Applies a report of the engine to any host. Returns false for one that is known already.
    bool merge_report(SlownessReading const&);
    /// This host's own observation of a value counts alone if it has several samples.
    [[nodiscard]] EnginePace value() const;
    /// The same without what is derived.
    [[nodiscard]] EnginePace observed() const;
    /// Whether this host has observed something that the other hosts don't know.
    [[nodiscard]] bool has_news() const { return is_noticeably_quicker(this->own.pace(), this->told); }
    /// The other hosts have been told what this host observed.
    void record_announcement() { this->told = quicker(this->told, this->own.pace()); }

private:
    EnginePace reported;
    /// What other hosts know, by their reports and by this host's announcements.
    EnginePace told;
};

}
