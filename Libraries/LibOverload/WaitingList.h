/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>
#include <vector>

namespace Overload {

using WaiterId = AK::StrongType<struct WaiterTag, u64>;

/// Until when capacity that becomes free is still of use to the caller of a generation.
struct WaitBounds {
    /// A generation that starts until then has its first event within the goal.
    Instant in_time_until {};
    /// A generation that has no capacity by then is refused.
    Instant useful_until {};
};

/// `received_at`, `goal` and `deadline` are those of the request, `reading_time` is what an engine needs for its
/// prompt.
WaitBounds wait_bounds(Instant received_at, Duration goal, Instant deadline, Duration reading_time);

/// A generation that waits at this host until an engine has capacity for it.
struct Waiter {
    /// 0 is the most urgent.
    u32 priority { 0 };
    /// Its caller was refused before and has come back as told.
    bool has_returned { false };
    /// What its organisation has had lately, as a multiple of its fair share.
    double use_of_share { 0 };
    WaitBounds bounds;
    /// Memory that its request takes at this host.
    size_t bytes { 0 };
};

/// The generations of one service that wait at this host, in the order in which they get capacity: the more urgent
/// before the less urgent; then those that can still be in time; then those whose callers have come back as told; then
/// those whose organisations have had less of their share; then those that have less time left.
class WaitingList {
public:
    struct Limits {
        size_t max_waiting { 64 };
        size_t max_bytes { 2 << 20 };
    };

    WaitingList() = default;
    explicit WaitingList(Limits limits)
        : limits(limits)
    {
    }

    struct Added {
        /// Empty if the list is full of generations that go first.
        std::optional<WaiterId> id;
        /// Generations that had to leave the list for it. They are to be refused at once.
        std::vector<WaiterId> displaced;
    };
    Added add(Waiter const&, Instant now);
    void remove(WaiterId);
    [[nodiscard]] std::vector<WaiterId> in_order(Instant now) const;
    /// Those for which capacity would come too late.
    [[nodiscard]] std::vector<WaiterId> expired(Instant now) const;
    /// When capacity comes too late for the next one; empty if none waits.
    [[nodiscard]] std::optional<Instant> next_end() const;
    /// Whether a generation waits that gets capacity before a new one with this priority.
    [[nodiscard]] bool has_before(u32 priority, Instant now) const;
    [[nodiscard]] size_t size() const { return this->waiters.size(); }

private:
    static bool goes_before(Waiter const&, Waiter const&, Instant now);

    Limits limits;
    std::map<WaiterId, Waiter> waiters;
    size_t bytes { 0 };
    u64 last_id { 0 };
};

/// Mean time after which a host looks for capacity again for its waiting generations. The more hosts of the domain have
/// waiting ones, the longer it is, so that they do not all choose the first engine with capacity before they know of
/// each other's choice. The actual time is to be drawn between 0 and twice the mean.
Duration mean_time_between_looks(u32 hosts_with_waiting);

}
