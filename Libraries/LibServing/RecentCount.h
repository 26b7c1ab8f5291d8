/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <vector>

namespace Serving {

/// Counts recent events in buckets of time, so that a flood of events takes no more memory than a few: 16 bytes per
/// bucket that contains an event, and nothing before the first event.
class RecentCount {
public:
    /// One fortieth of the default window of ten seconds.
    static constexpr Duration bucket_length = 250ms;

    /// Records an event at `now`. `kept` is the longest span that will be queried.
    void add(Instant now, Duration kept);
    /// Returns an upper bound for the number of events in `span` before `now`: a bucket that lies partly within the
    /// span counts as a whole.
    [[nodiscard]] u32 upper_bound_within(Duration span, Instant now) const;

private:
    struct Bucket {
        Instant from;
        u32 count { 0 };
    };
    std::vector<Bucket> buckets;
};

}
