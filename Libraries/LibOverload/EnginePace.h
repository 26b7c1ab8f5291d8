/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <optional>

namespace Overload {

/// How fast one process of an engine works, apart from its momentary slowness. Engines of one service may work at
/// different speeds. Each value is empty until it has been observed, by this host or by another one.
struct EnginePace {
    /// Time between two events of a stream while the engine reads no prompt.
    std::optional<Duration> event_interval;
    /// Time between two events of a stream while the engine also reads a prompt.
    std::optional<Duration> event_interval_while_reading;
    /// Prompt tokens that the engine reads per second.
    std::optional<double> prompt_tokens_per_second;

    bool operator==(EnginePace const&) const = default;
};

}
