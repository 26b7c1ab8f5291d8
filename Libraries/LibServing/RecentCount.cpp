/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RecentCount.h>

namespace Serving {

static Instant bucket_of(Instant moment) { return moment - moment.time_since_epoch() % RecentCount::bucket_length; }

void RecentCount::add(Instant now, Duration kept)
{
    std::erase_if(this->buckets, [&](Bucket const& bucket) { return bucket.from < bucket_of(now - kept); });
    auto const current = bucket_of(now);
    if (this->buckets.empty() || this->buckets.back().from < current)
        this->buckets.push_back({ current, 0 });
    ++this->buckets.back().count;
}

u32 RecentCount::upper_bound_within(Duration span, Instant now) const
{
    auto const first = bucket_of(now - span);
    u32 count = 0;
    for (auto bucket = this->buckets.rbegin(); bucket != this->buckets.rend() && bucket->from >= first; ++bucket)
        count += bucket->count;
    return count;
}

}
