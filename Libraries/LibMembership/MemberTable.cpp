/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibMembership/MemberTable.h>
#include <algorithm>
#include <xxhash.h>

namespace Membership {

MemberTable::MemberTable(MemberRow self, Duration silence_limit)
    : self(std::move(self))
    , silence_limit(silence_limit)
{
}

std::vector<MemberEvent> MemberTable::beat(Instant now)
{
    ++this->self.heartbeat;
    this->self.last_advance = now;
    std::vector<MemberEvent> events;
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        auto const& member = row->second;
        if (now - member.last_advance <= this->silence_limit) {
            ++row;
            continue;
        }
        events.push_back({ member.id, MemberChange::Lost, member.incarnation });
        this->lost[member.id] = { member.incarnation, member.heartbeat };
        row = this->rows.erase(row);
    }
    return events;
}

void MemberTable::receive_row(wire::MemberState const& state, Instant now, std::vector<MemberEvent>& events)
{
    MemberId id(state.id());
    std::pair news { Incarnation(state.incarnation()), state.heartbeat() };
    if (id == this->self.id) {
        // Someone remembers a later start of this member: the host's clock went back. Outrank it.
        if (news.first > this->self.incarnation)
            this->self.incarnation = Incarnation(news.first.value() + 1);
        return;
    }
    auto gone = this->lost.find(id);
    if (gone != this->lost.end() && news <= gone->second)
        return;
    auto [row, is_new] = this->rows.try_emplace(id);
    auto& member = row->second;
    if (!is_new && news <= std::pair(member.incarnation, member.heartbeat))
        return;
    if (is_new)
        events.push_back({ id, MemberChange::Joined, news.first });
    else if (news.first > member.incarnation)
        events.push_back({ id, MemberChange::Replaced, news.first });
    if (state.leaving() && !member.leaving)
        events.push_back({ id, MemberChange::Leaving, news.first });
    member = { id, state.role(), Address(state.address()), news.first, news.second, state.leaving(),
        Revision(state.revision()), now };
    this->lost.erase(id);
}

std::vector<MemberEvent> MemberTable::receive(wire::Gossip const& gossip, Instant now)
{
    std::vector<MemberEvent> events;
    for (auto const& state : gossip.members())
        this->receive_row(state, now, events);
    return events;
}

static void write_state(MemberRow const& row, wire::MemberState& state)
{
    state.set_id(row.id.value());
    state.set_role(row.role);
    state.set_address(row.address.value());
    state.set_incarnation(row.incarnation.value());
    state.set_heartbeat(row.heartbeat);
    state.set_leaving(row.leaving);
    state.set_revision(row.revision.value());
}

wire::Gossip MemberTable::gossip(FailureDomainId const& domain) const
{
    wire::Gossip gossip;
    gossip.set_failure_domain(domain.value());
    write_state(this->self, *gossip.add_members());
    for (auto const& [id, row] : this->rows)
        write_state(row, *gossip.add_members());
    return gossip;
}

std::vector<MemberRow> MemberTable::others() const
{
    std::vector<MemberRow> result;
    for (auto const& [id, row] : this->rows)
        result.push_back(row);
    return result;
}

MemberRow const* MemberTable::find(MemberId const& id) const
{
    if (id == this->self.id)
        return &this->self;
    auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

static u64 rendezvous_score(std::string const& key, MemberId const& member)
{
    return XXH64(member.value().data(), member.value().size(), XXH64(key.data(), key.size(), 0));
}

MemberRow const* MemberTable::owner_of(std::string const& key, wire::Role role) const
{
    MemberRow const* best = nullptr;
    u64 best_score = 0;
    auto consider = [&](MemberRow const& row) {
        if (row.role != role || row.leaving)
            return;
        auto score = rendezvous_score(key, row.id);
        if (!best || score > best_score) {
            best = &row;
            best_score = score;
        }
    };
    consider(this->self);
    for (auto const& [id, row] : this->rows)
        consider(row);
    return best;
}

}
