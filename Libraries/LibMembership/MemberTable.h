/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibWire/Messages.h>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Membership {

/// A process of the system in this failure domain, as last reported.
struct MemberRow {
    MemberId id;
    wire::Role role { wire::ROLE_UNSPECIFIED };
    Address address;
    Incarnation incarnation;
    u64 heartbeat { 0 };
    bool leaving { false };
    Revision revision;
    /// When the heartbeat last increased, by this host's clock.
    Instant last_advance;
};

enum class MemberChange : u8 {
    Joined,
    Replaced,
    Leaving,
    Lost,
};

/// Writes all fields of a member to a gossip message.
void write_full(MemberRow const&, wire::MemberState&);

struct MemberEvent {
    MemberId id;
    MemberChange change;
    Incarnation incarnation;
};

/// The fields that a gossip message contains for members other than its sender.
enum class GossipDetail : u8 {
    /// The heartbeat, which changes all the time, and a check value of the incarnation. The member counts as being at
    /// the sender's revision. Members at another revision and leaving ones are still written in full.
    Compact,
    /// All fields, including role and address, which a peer needs only once.
    Full,
};

/// The members of one failure domain, maintained by gossip: each member periodically increments its own heartbeat and
/// sends its view of all members to a few others (van Renesse et al., 1998). A member whose heartbeat has not increased
/// for `silence_limit` counts as lost. There is no consensus: views may differ for a while, and no safety property
/// depends on them.
class MemberTable {
public:
    MemberTable(MemberRow self, Duration silence_limit);

    /// Increments this member's heartbeat and removes members that were silent for longer than the limit.
    std::vector<MemberEvent> advance_heartbeat(Instant now);
    /// Merges another member's view.
    std::vector<MemberEvent> receive(wire::Gossip const&, Instant now);
    /// Returns this member's view as a message.
    [[nodiscard]] wire::Gossip gossip(FailureDomainId const&, GossipDetail) const;

    void set_own_revision(Revision revision) { this->self.revision = revision; }
    void set_own_leaving() { this->self.leaving = true; }
    [[nodiscard]] MemberRow const& own() const { return this->self; }
    /// Returns the targets of the next gossip message: up to `count` other members, chosen at random each time. With a
    /// round robin, members that start together would all send to the same targets at the same time, and each would
    /// receive nothing for a long time in between.
    [[nodiscard]] std::vector<Address> sample_targets(size_t count, std::mt19937& random) const;
    /// Returns all other live members.
    [[nodiscard]] std::vector<MemberRow> others() const;
    [[nodiscard]] MemberRow const* find(MemberId const&) const;
    /// Whether a live member listens at this address.
    [[nodiscard]] bool knows_address(Address const&) const;
    /// Returns the live member of `role` that owns `key` by rendezvous hashing, among all members including this one,
    /// except leaving ones and those in `except`. Returns nothing when no member remains.
    [[nodiscard]] MemberRow const* owner_of(
        std::string const& key, wire::Role role, std::set<MemberId> const& except = {}) const;

private:
    void receive_full(wire::MemberState const&, Instant now, std::vector<MemberEvent>& events);
    void receive_compact(wire::MemberState const&, Revision sender_revision, Instant now);

    MemberRow self;
    Duration silence_limit;
    std::map<MemberId, MemberRow> rows;
    // Incarnation and heartbeat of lost members, so that a forwarded old view does not add them again.
    std::map<MemberId, std::pair<Incarnation, u64>> lost;
};

}
