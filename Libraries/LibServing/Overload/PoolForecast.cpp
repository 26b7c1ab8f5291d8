/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/PoolForecast.h>
#include <algorithm>

namespace Serving {

static bool reads_a_prompt(BackendPointer const& backend) { return backend->engine.unread_tokens() > 0; }

/// The share of the engines that read a prompt at present, which is also the share of time in which one engine does.
static double reading_share(std::span<BackendPointer const> candidates)
{
    if (candidates.empty())
        return 0;
    return static_cast<double>(std::ranges::count_if(candidates, reads_a_prompt))
        / static_cast<double>(candidates.size());
}

std::unique_ptr<PoolForecast const> PoolForecast::create(
    std::span<BackendPointer const> candidates, ChoiceInputs const& inputs)
{
    if (!inputs.slowness || !inputs.stream || !inputs.slowness->is_known())
        return nullptr;
    return std::unique_ptr<PoolForecast const>(new PoolForecast(candidates, inputs));
}

PoolForecast::PoolForecast(std::span<BackendPointer const> candidates, ChoiceInputs const& inputs)
    : forecast(*inputs.slowness, *inputs.stream, reading_share(candidates))
{
    for (auto const& candidate : candidates)
        this->paces.add(candidate->pace);
}

std::optional<Overload::PauseEstimate> PoolForecast::estimate(Backend const& backend) const
{
    auto const pace = this->paces.complete(backend.pace);
    if (!pace)
        return {};
    auto const& engine = backend.engine;
    return this->forecast.estimate(
        *pace, { static_cast<double>(engine.streams()), static_cast<double>(engine.unread_tokens()) });
}

}
