/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/ReturnBook.h>
#include <algorithm>

namespace Overload {

ReturnDemand& ReturnDemand::operator+=(ReturnDemand const& other)
{
    this->generations += other.generations;
    this->tokens += other.tokens;
    this->unread_tokens += other.unread_tokens;
    return *this;
}

ReturnDemand& ReturnDemand::operator-=(ReturnDemand const& other)
{
    this->generations -= std::min(this->generations, other.generations);
    this->tokens -= std::min(this->tokens, other.tokens);
    this->unread_tokens -= std::min(this->unread_tokens, other.unread_tokens);
    return *this;
}

void ReturnBook::add(Instant due, ReturnDemand const& demand, Instant now)
{
    auto const slot = slot_of(due);
    if (slot < slot_of(now) || slot > slot_of(now) + slot_count)
        return;
    this->own[slot] += demand;
    this->changed.insert(slot);
}

void ReturnBook::remove(Instant due, ReturnDemand const& demand, Instant now)
{
    auto const found = this->own.find(slot_of(due));
    if (found == this->own.end() || found->first < slot_of(now))
        return;
    found->second -= demand;
    this->changed.insert(found->first);
}

bool ReturnBook::is_plausible(Announcement const& announced)
{
    auto const& demand = announced.demand;
    return announced.due_in >= Duration(0) && announced.due_in <= slot_count * slot_length
        && demand.generations <= max_generations && demand.tokens >= 0 && demand.tokens <= max_tokens
        && demand.unread_tokens >= 0 && demand.unread_tokens <= max_tokens;
}

void ReturnBook::apply(MemberId const& host, Announcement const& announced, Instant now)
{
    if (!is_plausible(announced) || (!this->peers.contains(host) && this->peers.size() >= max_hosts))
        return;
    // The boundaries of the other host's slots are not those of this host's. The middle of its slot is in the same one
    // of this host's slots for each announcement of it, unless the messages' delays differ by half a slot.
    auto const slot = slot_of(now + announced.due_in + slot_length / 2);
    if (announced.demand == ReturnDemand {}) {
        this->peers[host].erase(slot);
        return;
    }
    this->peers[host][slot] = announced.demand;
}

ReturnDemand ReturnBook::due_in_slot(i64 slot) const
{
    ReturnDemand demand;
    if (auto const found = this->own.find(slot); found != this->own.end())
        demand += found->second;
    for (auto const& [host, slots] : this->peers) {
        if (auto const found = slots.find(slot); found != slots.end())
            demand += found->second;
    }
    return demand;
}

std::vector<ReturnBook::Announcement> ReturnBook::take_announcements(Instant now, size_t max_count)
{
    this->expire(now);
    std::vector<Announcement> announcements;
    while (!this->changed.empty() && announcements.size() < max_count) {
        auto const slot = *this->changed.begin();
        this->changed.erase(this->changed.begin());
        // The current slot is about to end, and another host might take it for the next one.
        if (slot == slot_of(now))
            continue;
        announcements.push_back({ start_of(slot) - now, this->own[slot] });
    }
    return announcements;
}

void ReturnBook::expire(Instant now)
{
    auto const current = slot_of(now);
    auto drop_past = [current](auto& slots) { slots.erase(slots.begin(), slots.lower_bound(current)); };
    drop_past(this->own);
    drop_past(this->changed);
    for (auto& [host, slots] : this->peers)
        drop_past(slots);
    std::erase_if(this->peers, [](auto const& peer) { return peer.second.empty(); });
}

}
