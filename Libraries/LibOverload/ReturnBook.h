/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <set>
#include <vector>

namespace Overload {

/// Demand of callers that were refused and asked to return.
struct ReturnDemand {
    u32 generations { 0 };
    /// Memory that they will need together.
    i64 tokens { 0 };
    i64 unread_tokens { 0 };

    ReturnDemand& operator+=(ReturnDemand const&);
    ReturnDemand& operator-=(ReturnDemand const&);
    bool operator==(ReturnDemand const&) const = default;
};

/// The promised returns at one service, by the time slot in which they are due: those of this host, and those that the
/// other hosts of its failure domain have announced. Past slots no longer count.
class ReturnBook {
public:
    static constexpr Duration slot_length = 250ms;
    /// Number of slots after the current one. Nobody is asked to return later.
    static constexpr i64 slot_count = 64;

    /// All returns that one host has promised for one slot.
    struct Announcement {
        /// Start of the slot, relative to the time of the announcement. Not negative.
        Duration due_in { 0 };
        ReturnDemand demand;
    };

    static i64 slot_of(Instant time) { return time.time_since_epoch() / slot_length; }
    static Instant start_of(i64 slot) { return Instant(slot * slot_length); }

    /// Records a promise of this host. Times out of range are ignored.
    void add(Instant due, ReturnDemand const&, Instant now);
    /// The caller has returned, or will not.
    void remove(Instant due, ReturnDemand const&, Instant now);
    /// Applies an announcement of another host. It replaces what that host announced before for the same slot, so a
    /// repeated one has no effect, and one that arrives after its slot has none either. Impossible values are ignored.
    void apply(MemberId const& host, Announcement const&, Instant now);
    void forget(MemberId const& host) { this->peers.erase(host); }

    [[nodiscard]] ReturnDemand due_in_slot(i64 slot) const;
    [[nodiscard]] bool has_announcements() const { return !this->changed.empty(); }
    /// The slots whose own promises have changed since the last call. At most `max_count`, the earliest first.
    [[nodiscard]] std::vector<Announcement> take_announcements(Instant now, size_t max_count);
    void expire(Instant now);

private:
    /// More promises for one slot and host are an error of the sender.
    static constexpr u32 max_generations = 10'000;
    static constexpr i64 max_tokens = 1'000'000'000;
    static constexpr size_t max_hosts = 1024;
    using Slots = std::map<i64, ReturnDemand>;

    static bool is_plausible(Announcement const&);

    Slots own;
    std::set<i64> changed;
    std::map<MemberId, Slots> peers;
};

}
