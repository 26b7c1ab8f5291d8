/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <vector>

namespace Serving {

/// How often something happened lately, counted by buckets of time so that a flood takes no more memory than a trickle:
/// 16 bytes for each bucket in which it happened at all, and none before that.
class RecentCount {
public:
    /// A fortieth of the usual window of ten seconds.
    static constexpr Duration bucket_length = 250ms;

    /// It has happened now. `kept`: the longest span that will be asked for.
    void add(Instant now, Duration kept);
    /// Not less than happened in the span before `now`: a bucket that lies partly within it counts wholly.
    [[nodiscard]] u32 upper_bound_within(Duration span, Instant now) const;

private:
    struct Bucket {
        Instant from;
        u32 count { 0 };
    };
    std::vector<Bucket> buckets;
};

}
