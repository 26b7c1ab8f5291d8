/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <array>
#include <limits>

namespace OverloadModel {

/// Number of organisations that request generations.
inline constexpr u32 organisation_count = 10;

/// What became of the requests of one kind or of one organisation.
struct Tally {
    u32 requests { 0 };
    u32 in_time { 0 };
    /// The first event came too late, or a pause followed it: a generation that has to be prefilled again always pauses
    /// for longer than a stream may. A generation without an event is neither late nor in time.
    u32 late { 0 };
    u32 refused { 0 };

    Tally& operator+=(Tally const& other)
    {
        this->requests += other.requests;
        this->in_time += other.in_time;
        this->late += other.late;
        this->refused += other.refused;
        return *this;
    }
    [[nodiscard]] double share(u32 count) const { return count / std::max(1.0, double(this->requests)); }
    [[nodiscard]] double share_in_time() const { return this->share(this->in_time); }
    [[nodiscard]] double share_refused() const { return this->share(this->refused); }
};

/// What became of all requests of a run.
struct Outcome : Tally {
    Tally urgent;
    Tally less_urgent;
    std::array<Tally, organisation_count> organisations;
    /// Refusals while less than half of the slots of all engines were taken.
    u32 refused_while_half_free { 0 };

    Outcome& operator+=(Outcome const& other)
    {
        Tally::operator+=(other);
        this->urgent += other.urgent;
        this->less_urgent += other.less_urgent;
        this->refused_while_half_free += other.refused_while_half_free;
        for (size_t i = 0; i < organisation_count; ++i)
            this->organisations[i] += other.organisations[i];
        return *this;
    }
    /// Share in time of the worst-served organisation, relative to that of all. An organisation that requests more than
    /// twice the mean is left out, since it is due less.
    [[nodiscard]] double worst_organisation() const
    {
        double worst = std::numeric_limits<double>::infinity();
        for (auto const& organisation : this->organisations) {
            bool const is_large = organisation.requests * organisation_count > 2 * this->requests;
            if (organisation.requests > 0 && this->in_time > 0 && !is_large)
                worst = std::min(worst, organisation.share_in_time() / this->share_in_time());
        }
        return worst;
    }
};

}
