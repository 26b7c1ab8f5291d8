/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/WaitingList.h>
#include <algorithm>
#include <tuple>

namespace Overload {

/// A caller that is refused after this share of its goal still has time to come back and be served within the goal.
/// Generations that wait for longer and then run are late, and hold capacity that others could use in time.
static constexpr i64 goal_to_wait_ratio = 8;

/// A placement is known in the whole domain after 3 ms. Twice that for each host with waiting generations lets fewer
/// than one other host look for capacity before it knows of a placement.
static constexpr Duration time_per_host = 6ms;
/// A tenth of the time for which the most urgent generations usually wait.
static constexpr Duration min_time_between_looks = 15ms;

WaitBounds wait_bounds(Instant received_at, Duration goal, Instant deadline, Duration reading_time)
{
    auto const in_time_until = received_at + std::max<Duration>(0s, goal - reading_time);
    auto const share_until = received_at + goal / goal_to_wait_ratio;
    return { in_time_until, std::min({ in_time_until, share_until, deadline }) };
}

bool WaitingList::goes_before(Waiter const& left, Waiter const& right, Instant now)
{
    auto const key = [now](Waiter const& waiter) {
        bool const is_late = now > waiter.bounds.in_time_until;
        return std::tuple(waiter.priority, is_late, !waiter.has_returned, waiter.use_of_share,
            is_late ? waiter.bounds.useful_until : waiter.bounds.in_time_until);
    };
    return key(left) < key(right);
}

WaitingList::Added WaitingList::add(Waiter const& waiter, Instant now)
{
    Added added;
    auto const is_full = [&] {
        return this->waiters.size() >= this->limits.max_waiting || this->bytes + waiter.bytes > this->limits.max_bytes;
    };
    while (is_full() && !this->waiters.empty()) {
        auto const last = this->in_order(now).back();
        if (!goes_before(waiter, this->waiters.at(last), now))
            return added;
        added.displaced.push_back(last);
        this->remove(last);
    }
    if (is_full())
        return added;
    added.id = WaiterId(++this->last_id);
    this->waiters.emplace(*added.id, waiter);
    this->bytes += waiter.bytes;
    return added;
}

void WaitingList::remove(WaiterId id)
{
    auto const found = this->waiters.find(id);
    if (found == this->waiters.end())
        return;
    this->bytes -= found->second.bytes;
    this->waiters.erase(found);
}

std::vector<WaiterId> WaitingList::in_order(Instant now) const
{
    std::vector<WaiterId> ids;
    for (auto const& [id, waiter] : this->waiters)
        ids.push_back(id);
    std::ranges::stable_sort(ids, [&](WaiterId left, WaiterId right) {
        return goes_before(this->waiters.at(left), this->waiters.at(right), now);
    });
    return ids;
}

std::vector<WaiterId> WaitingList::expired(Instant now) const
{
    std::vector<WaiterId> ids;
    for (auto const& [id, waiter] : this->waiters) {
        if (now >= waiter.bounds.useful_until)
            ids.push_back(id);
    }
    return ids;
}

std::optional<Instant> WaitingList::next_end() const
{
    std::optional<Instant> earliest;
    for (auto const& [id, waiter] : this->waiters)
        earliest = std::min(earliest.value_or(waiter.bounds.useful_until), waiter.bounds.useful_until);
    return earliest;
}

bool WaitingList::has_before(u32 priority, Instant now) const
{
    return std::ranges::any_of(this->waiters, [&](auto const& entry) {
        auto const& waiter = entry.second;
        return waiter.priority < priority || (waiter.priority == priority && now <= waiter.bounds.in_time_until);
    });
}

Duration mean_time_between_looks(u32 hosts_with_waiting)
{
    return std::max<Duration>(min_time_between_looks, static_cast<i64>(hosts_with_waiting) * time_per_host);
}

}
