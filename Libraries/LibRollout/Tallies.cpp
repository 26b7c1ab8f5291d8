/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/Tallies.h>
#include <algorithm>
#include <limits>

namespace Rollout {

void Tallies::apply(std::string const& source, Tally tally, Instant now)
{
    this->entries[source] = { std::move(tally), now };
}

Tally Tallies::sum(u64 order_version, std::vector<std::string> const& in_reach, Instant now) const
{
    return this->sum_of(
        order_version, in_reach, [](std::string const&) { return true; }, now);
}

Tally Tallies::sum_of(u64 order_version, std::vector<std::string> const& in_reach,
    std::function<bool(std::string const&)> const& includes, Instant now) const
{
    Tally sum;
    sum.order_version = order_version;
    sum.applied_record = std::numeric_limits<u64>::max();
    for (auto const& [source, entry] : this->entries) {
        if (entry.tally.order_version == order_version && includes(source))
            add(sum.answers, entry.tally.answers);
    }
    for (auto const& source : in_reach) {
        auto found = this->entries.find(source);
        bool const has_reported = found != this->entries.end() && found->second.tally.order_version == order_version
            && now - found->second.received_at <= silence_limit;
        auto const applied = has_reported ? found->second.tally.applied_record : 0;
        sum.applied_record = std::min(sum.applied_record, applied);
        if (has_reported)
            sum.former_in_progress += found->second.tally.former_in_progress;
    }
    return sum;
}

bool Tallies::has_silent_sources(Instant now) const
{
    return std::ranges::any_of(
        this->entries, [now](auto const& entry) { return now - entry.second.received_at > silence_limit; });
}

}
