/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibMembership/MemberTable.h>
#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace Membership {

MemberTable::MemberTable(MemberRow self, Duration silence_limit)
    : self(std::move(self))
    , silence_limit(silence_limit)
{
}

std::vector<MemberEvent> MemberTable::advance_heartbeat(Instant now)
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

/// Returns the low bits of an incarnation, enough to distinguish two starts of one member. A collision would only keep
/// a dead member in the table for longer.
static u32 truncated_incarnation(Incarnation incarnation)
{
    constexpr u64 check_mask = 0x3fff;
    return static_cast<u32>(incarnation.value() & check_mask);
}

void MemberTable::receive_full(wire::MemberState const& state, Instant now, std::vector<MemberEvent>& events)
{
    MemberId id(state.id());
    std::pair received { Incarnation(state.incarnation()), state.heartbeat() };
    if (id == this->self.id) {
        // A peer knows a later incarnation of this member, so the host's clock went back. Exceed that incarnation.
        if (received.first > this->self.incarnation)
            this->self.incarnation = Incarnation(received.first.value() + 1);
        return;
    }
    auto lost_entry = this->lost.find(id);
    if (lost_entry != this->lost.end() && received <= lost_entry->second)
        return;
    auto [row, is_new] = this->rows.try_emplace(id);
    auto& member = row->second;
    if (!is_new && received <= std::pair(member.incarnation, member.heartbeat))
        return;
    if (is_new)
        events.push_back({ id, MemberChange::Joined, received.first });
    else if (received.first > member.incarnation)
        events.push_back({ id, MemberChange::Replaced, received.first });
    if (state.leaving() && !member.leaving)
        events.push_back({ id, MemberChange::Leaving, received.first });
    member = { id, state.role(), Address(state.address()), received.first, received.second, state.leaving(),
        Revision(state.revision()), now };
    this->lost.erase(id);
}

void MemberTable::receive_compact(wire::MemberState const& state, Revision sender_revision, Instant now)
{
    auto known = this->rows.find(MemberId(state.id()));
    if (known == this->rows.end() || truncated_incarnation(known->second.incarnation) != state.incarnation_check()
        || state.heartbeat() <= known->second.heartbeat)
        return;
    known->second.heartbeat = state.heartbeat();
    known->second.revision = sender_revision;
    known->second.last_advance = now;
}

std::vector<MemberEvent> MemberTable::receive(wire::Gossip const& gossip, Instant now)
{
    std::vector<MemberEvent> events;
    for (auto const& state : gossip.members()) {
        if (state.address().empty())
            this->receive_compact(state, Revision(gossip.members(0).revision()), now);
        else
            this->receive_full(state, now, events);
    }
    return events;
}

void write_full(MemberRow const& row, wire::MemberState& state)
{
    state.set_id(row.id.value());
    state.set_role(row.role);
    state.set_address(row.address.value());
    state.set_incarnation(row.incarnation.value());
    state.set_heartbeat(row.heartbeat);
    state.set_leaving(row.leaving);
    state.set_revision(row.revision.value());
}

static void write_compact(MemberRow const& row, wire::MemberState& state)
{
    state.set_id(row.id.value());
    state.set_heartbeat(row.heartbeat);
    state.set_incarnation_check(truncated_incarnation(row.incarnation));
}

wire::Gossip MemberTable::gossip(FailureDomainId const& domain, GossipDetail detail) const
{
    wire::Gossip gossip;
    gossip.set_failure_domain(domain.value());
    write_full(this->self, *gossip.add_members());
    for (auto const& [id, row] : this->rows) {
        // A member that is leaving or at another revision needs its full row, which a compact row does not carry.
        auto is_ordinary = row.revision == this->self.revision && !row.leaving;
        if (detail == GossipDetail::Compact && is_ordinary)
            write_compact(row, *gossip.add_members());
        else
            write_full(row, *gossip.add_members());
    }
    return gossip;
}

std::vector<MemberRow> MemberTable::others() const
{
    std::vector<MemberRow> result;
    for (auto const& [id, row] : this->rows)
        result.push_back(row);
    return result;
}

std::vector<Address> MemberTable::sample_targets(size_t count, std::mt19937& random) const
{
    std::vector<Address> known;
    for (auto const& [id, row] : this->rows)
        known.push_back(row.address);
    std::vector<Address> targets;
    std::ranges::sample(known, std::back_inserter(targets), static_cast<std::ptrdiff_t>(count), random);
    return targets;
}

MemberRow const* MemberTable::find(MemberId const& id) const
{
    if (id == this->self.id)
        return &this->self;
    auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

bool MemberTable::knows_address(Address const& address) const
{
    return std::ranges::any_of(this->rows, [&](auto const& entry) { return entry.second.address == address; });
}

static u64 rendezvous_score(std::string const& key, MemberId const& member)
{
    return XXH64(member.value().data(), member.value().size(), XXH64(key.data(), key.size(), 0));
}

MemberRow const* MemberTable::owner_of(std::string const& key, wire::Role role, std::set<MemberId> const& except) const
{
    MemberRow const* best = nullptr;
    u64 best_score = 0;
    auto consider = [&](MemberRow const& row) {
        if (row.role != role || row.leaving || except.contains(row.id))
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
