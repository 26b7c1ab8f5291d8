/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/PauseForecast.h>
#include <LibServing/BackendChooser.h>

namespace Serving {

/// Estimates for each engine of a pool what a placement does to the pauses of streams.
class PoolForecast {
public:
    /// Null unless the demand of the stream and the slowness of the service's servers are known. Keeps references into
    /// `inputs`.
    static std::unique_ptr<PoolForecast const> create(
        std::span<BackendPointer const> candidates, ChoiceInputs const& inputs);

    /// Empty if nothing is known of the paces of the candidates.
    [[nodiscard]] std::optional<Overload::PauseEstimate> estimate(Backend const&) const;

private:
    PoolForecast(std::span<BackendPointer const> candidates, ChoiceInputs const& inputs);

    Overload::PoolPace paces;
    Overload::PauseForecast forecast;
};

}
