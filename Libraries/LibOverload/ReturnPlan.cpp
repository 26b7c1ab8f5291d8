/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/ReturnPlan.h>
#include <algorithm>
#include <cmath>

namespace Overload {

/// Callers obey a Retry-After for this part of their time left.
static constexpr i64 obeyed_part = 3;

static Duration obeyed_time(RefusedGeneration const& generation)
{
    return std::min<Duration>(generation.time_left / obeyed_part, ReturnPlan::max_return);
}

std::string_view to_string(ReturnTime::Basis basis)
{
    switch (basis) {
    case ReturnTime::Basis::Unknown:
        return "unknown";
    case ReturnTime::Basis::Promised:
        return "promised";
    case ReturnTime::Basis::PromisedLate:
        return "promised_late";
    case ReturnTime::Basis::NoCapacity:
        return "no_capacity";
    }
    return "unknown";
}

bool ReleasedCapacity::covers(ReturnDemand const& demand, double seconds) const
{
    return demand.generations <= this->generations * seconds
        && static_cast<double>(demand.tokens) <= this->tokens * seconds
        && static_cast<double>(demand.unread_tokens) <= this->unread_tokens * seconds;
}

void ReturnPlan::record_returned(Instant due, ReturnDemand const& demand, Instant now)
{
    this->book.remove(due, demand, now);
}

void ReturnPlan::apply(MemberId const& host, ReturnBook::Announcement const& announced, Instant now)
{
    this->book.apply(host, announced, now);
    if (announced.demand.generations > 0 && announced.due_in > Duration(0))
        this->record_shortage(now);
}

ReturnTime ReturnPlan::refuse(RefusedGeneration const& generation, PoolUse const& pool, double draw, Instant now)
{
    this->book.expire(now);
    this->record_shortage(now);
    this->record_outcome({ generation.demand.tokens, true, now });
    auto time = this->forecast(generation.demand, pool, now);
    this->choose(time, generation, draw, now);
    // Also a caller without a promise returns, and competes with the others.
    auto const due = now + time.after;
    time.due_before = this->book.due_in_slot(ReturnBook::slot_of(due));
    this->book.add(due, generation.demand, now);
    return time;
}

ReturnTime ReturnPlan::forecast(ReturnDemand const& demand, PoolUse const& pool, Instant now) const
{
    ReturnTime time;
    this->count_outcomes(time, demand.tokens, now);
    if (time.refused_share > low_refused_share)
        time.shortage_ends_in = persistence * (now - this->shortage_since);
    time.capacity = this->released_per_second(pool, now);
    return time;
}

void ReturnPlan::choose(ReturnTime& time, RefusedGeneration const& generation, double draw, Instant now) const
{
    auto take_between = [&](Duration from, Duration until, ReturnTime::Basis basis) {
        time.basis = basis;
        time.after = from + AK::from_seconds(draw * AK::to_seconds(until - from));
    };
    take_between(min_return, short_return, ReturnTime::Basis::Unknown);
    auto const obeyed = obeyed_time(generation);
    auto const in_time = std::min<Duration>(
        obeyed, generation.first_event_due_in - generation.first_event_takes - generation.backlog_takes);
    auto const permitted = permitted_time(generation, in_time);
    if (!time.capacity || permitted <= min_return)
        return;
    auto promise = [&](Duration from, Duration until, ReturnTime::Basis basis) {
        auto const slot = this->first_slot(generation.demand, *time.capacity, now + from, now + until);
        if (slot)
            take_between(std::max(from, ReturnBook::start_of(*slot) - now),
                std::min(until, ReturnBook::start_of(*slot + 1) - now), basis);
        return slot.has_value();
    };
    // A caller that is still served in time loses nothing by waiting, while an early one meets the same shortage, and
    // those whose promises this host does not know yet.
    bool const is_shortage = time.refused_share > low_refused_share;
    auto const earliest = std::max({ min_return, time.shortage_ends_in, is_shortage ? permitted / 2 : Duration(0) });
    if (promise(earliest, in_time, ReturnTime::Basis::Promised))
        return;
    bool const is_late_better
        = in_time <= min_return || (time.similar_outcomes >= min_outcomes && time.refused_share > high_refused_share);
    if (is_late_better && promise(std::max(earliest, in_time), obeyed, ReturnTime::Basis::PromisedLate))
        return;
    take_between(std::max<Duration>(min_return, permitted / 2), permitted, ReturnTime::Basis::NoCapacity);
}

Duration ReturnPlan::permitted_time(RefusedGeneration const& generation, Duration in_time)
{
    if (in_time > short_return)
        return in_time;
    // Present backlogs would delay the first event beyond the goal, but an engine with a shorter one may be found.
    bool const may_be_in_time = generation.first_event_due_in - generation.first_event_takes > min_return;
    return may_be_in_time ? std::min<Duration>(short_return, obeyed_time(generation)) : obeyed_time(generation);
}

std::optional<ReleasedCapacity> ReturnPlan::released_per_second(PoolUse const& pool, Instant now) const
{
    auto const released = this->turnover.released_part(now);
    if (!released || pool.tokens <= 0)
        return {};
    auto const share = std::clamp(pool.domain_share, 0.0, 1.0) * returning_share;
    auto const generations = static_cast<double>(pool.generations) * share;
    return ReleasedCapacity { generations * *this->turnover.ending_part(now),
        static_cast<double>(pool.tokens) * share * *released, generations * *this->turnover.read_per_generation(now) };
}

/// Returns the first slot between `from` and `until` with capacity for `demand` that is not promised yet. What is not
/// used in one slot is available in the next one.
std::optional<i64> ReturnPlan::first_slot(
    ReturnDemand const& demand, ReleasedCapacity const& capacity, Instant from, Instant until) const
{
    if (from >= until)
        return {};
    auto const first = ReturnBook::slot_of(from);
    auto const last = ReturnBook::slot_of(until);
    std::optional<i64> found;
    auto with_demand = demand;
    for (auto slot = first; slot <= first + ReturnBook::slot_count; ++slot) {
        with_demand += this->book.due_in_slot(slot);
        auto const seconds = AK::to_seconds(ReturnBook::start_of(slot + 1) - from);
        if (!capacity.covers(with_demand, seconds))
            found = {};
        else if (!found && slot <= last)
            found = slot;
    }
    return found;
}

void ReturnPlan::record_shortage(Instant now)
{
    if (now - this->last_refused_at > quiet_time)
        this->shortage_since = now;
    this->last_refused_at = now;
}

void ReturnPlan::record_outcome(Outcome outcome)
{
    while (!this->outcomes.empty()
        && (this->outcomes.size() >= max_outcomes || outcome.at - this->outcomes.front().at > outcome_lifetime))
        this->outcomes.pop_front();
    this->outcomes.push_back(outcome);
}

/// Sets the share of the recent generations of at least about this size that were refused.
void ReturnPlan::count_outcomes(ReturnTime& time, i64 tokens, Instant now) const
{
    u32 refused = 0;
    for (auto const& outcome : this->outcomes) {
        bool const is_similar = static_cast<double>(outcome.tokens) >= similar_size * static_cast<double>(tokens);
        if (!is_similar || now - outcome.at > outcome_lifetime)
            continue;
        ++time.similar_outcomes;
        refused += outcome.is_refused ? 1 : 0;
    }
    if (time.similar_outcomes > 0)
        time.refused_share = static_cast<double>(refused) / time.similar_outcomes;
}

}
