/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/ReturnBook.h>
#include <LibOverload/Turnover.h>
#include <deque>

namespace Overload {

/// What the engines of one service hold that accept work, as far as this host knows.
struct PoolUse {
    i64 tokens { 0 };
    u32 generations { 0 };
    /// The share of the tokens that belongs to this host's failure domain.
    double domain_share { 1 };
};

/// A generation that is refused for lack of capacity.
struct RefusedGeneration {
    ReturnDemand demand;
    /// Time left until its first event is due by the goal of its route.
    Duration first_event_due_in { 0 };
    /// Time until its first event once an idle engine has taken it, and the time that present backlogs add.
    Duration first_event_takes { 0 };
    Duration backlog_takes { 0 };
    /// Time left until its deadline.
    Duration time_left { 0 };
};

/// What the engines are expected to release per second to callers of this domain who return.
struct ReleasedCapacity {
    double generations { 0 };
    double tokens { 0 };
    double unread_tokens { 0 };
    /// Whether this much is released within `seconds`.
    [[nodiscard]] bool covers(ReturnDemand const&, double seconds) const;
};

/// When a refused caller should return, and what this was derived from.
struct ReturnTime {
    enum class Basis : u8 {
        /// Too little is known for a forecast.
        Unknown,
        /// Capacity is expected, and the caller's demand is recorded.
        Promised,
        /// As Promised, but the first event will be later than the goal.
        PromisedLate,
        /// No capacity is expected that is not promised to others. This is the caller's best chance.
        NoCapacity,
    };
    Basis basis { Basis::Unknown };
    Duration after { 0 };
    /// When the shortage is expected to have ended.
    Duration shortage_ends_in { 0 };
    /// The recent generations of this host that were about as large or larger, and the share that was refused.
    u32 similar_outcomes { 0 };
    double refused_share { 0 };
    /// Empty if it is unknown.
    std::optional<ReleasedCapacity> capacity;
    /// The demand of other callers who return in the same slot.
    ReturnDemand due_before;
};

std::string_view to_string(ReturnTime::Basis);

/// Decides when the callers that are refused at one service should return. The decision depends on what was recorded
/// here and on the arguments only.
class ReturnPlan {
public:
    /// Without a longer shortage, callers return within this time. In a pool of many engines, some engine has free
    /// capacity again within half a second.
    static constexpr Duration min_return = 200ms;
    static constexpr Duration short_return = 400ms;
    static constexpr Duration max_return = ReturnBook::slot_count * ReturnBook::slot_length;

    void record_admitted(i64 tokens, Instant now) { this->record_outcome({ tokens, false, now }); }
    void record_ended(EndedGeneration const& ended, Instant now) { this->turnover.record(ended, now); }
    /// Returns when the caller should return, and records the promise, if it is one. `draw` is uniform in [0, 1), so
    /// that callers refused together do not return together.
    ReturnTime refuse(RefusedGeneration const&, PoolUse const&, double draw, Instant now);
    /// Records that the caller has returned, so that its promise no longer counts.
    void record_returned(Instant due, ReturnDemand const& demand, Instant now);
    /// Another host of the domain has announced promises.
    void apply(MemberId const& host, ReturnBook::Announcement const&, Instant now);

    ReturnBook book;

private:
    /// A quarter of the released capacity may be promised: even if new callers demand all of it, four of five of all
    /// callers are then served.
    static constexpr double returning_share = 0.25;
    /// While more than four of five are served, an early return is most likely served too.
    static constexpr double low_refused_share = 0.2;
    /// If less than half of the callers are served in time, a late answer is more likely than one in time.
    static constexpr double high_refused_share = 0.5;
    /// With fewer outcomes the share may be high by chance.
    static constexpr u32 min_outcomes = 4;
    /// A shortage has ended after this time without a refusal in the domain.
    static constexpr Duration quiet_time = 1s;
    /// Outcomes of this age still show the present shortage.
    static constexpr Duration outcome_lifetime = 3s;
    static constexpr size_t max_outcomes = 128;
    /// Engines that have no capacity for a generation may have some for smaller ones.
    static constexpr double similar_size = 0.8;
    /// A shortage of age a, of which nothing else is known, ends within four times a with a probability of four fifths.
    static constexpr i64 persistence = 4;

    struct Outcome {
        i64 tokens { 0 };
        bool is_refused { false };
        Instant at {};
    };
    [[nodiscard]] ReturnTime forecast(ReturnDemand const&, PoolUse const&, Instant now) const;
    /// Sets when the caller returns, by the forecast in `time`.
    /// The latest time at which the caller should return.
    static Duration permitted_time(RefusedGeneration const&, Duration in_time);
    void choose(ReturnTime& time, RefusedGeneration const&, double draw, Instant now) const;
    [[nodiscard]] std::optional<ReleasedCapacity> released_per_second(PoolUse const&, Instant now) const;
    [[nodiscard]] std::optional<i64> first_slot(
        ReturnDemand const&, ReleasedCapacity const&, Instant from, Instant until) const;
    void record_shortage(Instant now);
    void record_outcome(Outcome);
    void count_outcomes(ReturnTime&, i64 tokens, Instant now) const;

    Turnover turnover;
    /// In the order of time.
    std::deque<Outcome> outcomes;
    Instant shortage_since {};
    Instant last_refused_at {};
};

}
