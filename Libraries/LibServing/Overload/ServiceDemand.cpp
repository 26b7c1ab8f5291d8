/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/ServiceDemand.h>
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <limits>

namespace Serving {

std::optional<Overload::WaiterId> ServiceDemand::add_waiting(Overload::Waiter const& waiter, Look look)
{
    auto const added = this->list.add(waiter, this->clock());
    if (added.id)
        this->looks.emplace(*added.id, std::move(look));
    for (auto const displaced : added.displaced)
        this->look_for(displaced, true);
    this->shortage.set_waiting(static_cast<u32>(this->list.size()));
    if (added.id)
        this->schedule_look();
    return added.id;
}

void ServiceDemand::remove_waiting(Overload::WaiterId id)
{
    this->list.remove(id);
    this->looks.erase(id);
    this->shortage.set_waiting(static_cast<u32>(this->list.size()));
}

/// The timer runs to the next look or to the end of the first wait, whichever comes first.
void ServiceDemand::schedule_look()
{
    if (this->list.size() == 0)
        return;
    auto const now = this->clock();
    if (this->next_look_at <= now) {
        auto const mean = AK::to_seconds(Overload::mean_time_between_looks(this->shortage.hosts_with_waiting(now)));
        boost::random::uniform_real_distribution<double> seconds(0, 2 * mean);
        this->next_look_at = now + AK::from_seconds(seconds(this->random));
    }
    auto const next = std::min(this->next_look_at, *this->list.next_end());
    if (this->scheduled_at && *this->scheduled_at <= next)
        return;
    this->scheduled_at = next;
    this->timer.expires_after(std::max<Duration>(Duration(0), next - now));
    this->timer.async_wait(this->guard.wrap([this](boost::system::error_code error) {
        // A timer that was set anew runs again.
        if (error)
            return;
        this->scheduled_at.reset();
        this->refuse_expired();
        if (this->clock() >= this->next_look_at)
            this->look_for_all();
        this->schedule_look();
    }));
}

void ServiceDemand::refuse_expired()
{
    for (auto const id : this->list.expired(this->clock()))
        this->look_for(id, true);
}

void ServiceDemand::look_for_all()
{
    int failed = 0;
    for (auto const id : this->list.in_order(this->clock())) {
        if (!this->look_for(id, false) && ++failed >= max_failed_looks)
            return;
    }
}

bool ServiceDemand::look_for(Overload::WaiterId id, bool is_last)
{
    auto const found = this->looks.find(id);
    if (found == this->looks.end())
        return true;
    // The look removes itself from the map.
    auto const look = found->second;
    look(is_last);
    if (is_last)
        this->remove_waiting(id);
    return !this->looks.contains(id);
}

CapacityLimits capacity_limits(ServiceDemand& demand, u32 priority, OrganisationId const& organisation, Instant now)
{
    CapacityLimits limits;
    auto const all = demand.kinds.more_urgent_than(std::numeric_limits<u32>::max(), now);
    if (all.size() > 1)
        limits.most_urgent = { all.front() };
    // A service whose generations are all equally urgent is served in the order of arrival.
    if (all.size() <= 1 || !demand.shortage.is_present(now))
        return limits;
    limits.keep_free_for = demand.kinds.more_urgent_than(priority, now);
    limits.use_of_share = demand.shares.use_of_share(organisation, now);
    if (!demand.shares.must_yield(organisation, now))
        return limits;
    auto const equally_urgent = demand.kinds.with_priority(priority, now);
    limits.keep_free_for.insert(limits.keep_free_for.end(), equally_urgent.begin(), equally_urgent.end());
    return limits;
}

bool may_wait(ServiceDemand const& demand, Instant now)
{
    bool const has_priorities = demand.kinds.more_urgent_than(std::numeric_limits<u32>::max(), now).size() > 1;
    return has_priorities && demand.shortage.is_present(now);
}

}
