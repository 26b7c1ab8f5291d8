/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <vector>

namespace Overload {

/// The generations of one service that have the same priority.
struct GenerationKind {
    /// 0 is the most urgent.
    u32 priority { 0 };
    /// The shortest goal for the first event.
    Duration first_event_goal { 0 };
    /// Sizes that few of the recent generations exceed.
    TokenCount prompt;
    TokenCount expected_output;
};

/// The kinds of generations that callers have requested from one service lately, by priority. A service whose
/// generations all have the same priority has one kind, and nothing is kept free for others.
class GenerationKinds {
public:
    /// A kind that was not requested for this long is forgotten, and its capacity goes to the others.
    static constexpr Duration memory = 30s;

    void record(u32 priority, Duration first_event_goal, TokenCount prompt, TokenCount expected_output, Instant now);
    /// The kinds that are more urgent than `priority`, the most urgent first.
    [[nodiscard]] std::vector<GenerationKind> more_urgent_than(u32 priority, Instant now) const;
    /// The kind with exactly this priority; empty if it is not known.
    [[nodiscard]] std::vector<GenerationKind> with_priority(u32 priority, Instant now) const;

private:
    /// Generations of one kind vary in size by a few times, which so many show well enough.
    static constexpr size_t max_sizes = 32;
    /// Share of the recent generations that are no larger than the kind's size.
    static constexpr double size_quantile = 0.9;
    /// Bounds the memory; priorities range from 0 to 9.
    static constexpr size_t max_kinds = 16;

    struct Recent {
        GenerationKind kind;
        std::vector<i64> prompts;
        std::vector<i64> outputs;
        size_t next { 0 };
        Instant last_at {};
    };
    static i64 upper_size(std::vector<i64> sizes);

    std::map<u32, Recent> kinds;
};

}
