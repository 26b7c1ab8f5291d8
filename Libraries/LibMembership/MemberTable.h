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

/// One process of the system in this failure domain, as last heard of.
struct MemberRow {
    MemberId id;
    wire::Role role { wire::ROLE_UNSPECIFIED };
    Address address;
    Incarnation incarnation;
    u64 heartbeat { 0 };
    bool leaving { false };
    Revision revision;
    /// When the heartbeat last grew, on this host's clock.
    Instant last_advance;
};

enum class MemberChange : u8 {
    Joined,
    Replaced,
    Leaving,
    Lost,
};

/// Writes all that is known of a member.
void write_full(MemberRow const&, wire::MemberState&);

struct MemberEvent {
    MemberId id;
    MemberChange change;
    Incarnation incarnation;
};

/// How much a view says of members other than its sender.
enum class GossipDetail : u8 {
    /// Who is alive and at which revision: what changes all the time.
    Compact,
    /// Role and address as well: what a member must be told once.
    Full,
};

/// The members of one failure domain, kept by gossip: each beat a member raises its own heartbeat and sends what it
/// knows of everyone to a few others (van Renesse et al., 1998). A member whose heartbeat has not grown for
/// `silence_limit` counts as lost. Nothing is agreed: views may differ for a while, and nothing that must hold
/// depends on them.
class MemberTable {
public:
    MemberTable(MemberRow self, Duration silence_limit);

    /// Raises this member's own heartbeat and drops members silent for too long.
    std::vector<MemberEvent> advance_heartbeat(Instant now);
    /// Takes in another member's view.
    std::vector<MemberEvent> receive(wire::Gossip const&, Instant now);
    /// This member's view, to be sent.
    [[nodiscard]] wire::Gossip gossip(FailureDomainId const&, GossipDetail) const;

    void set_own_revision(Revision revision) { this->self.revision = revision; }
    void set_own_leaving() { this->self.leaving = true; }
    [[nodiscard]] MemberRow const& own() const { return this->self; }
    /// Whom to send the next view: up to `count` others, drawn anew each time. Not in turn: members that start together
    /// would all send to the same ones at the same time, and each would hear nothing for long in between.
    [[nodiscard]] std::vector<Address> sample_targets(size_t count, std::mt19937& random) const;
    /// Every other live member.
    [[nodiscard]] std::vector<MemberRow> others() const;
    [[nodiscard]] MemberRow const* find(MemberId const&) const;
    /// Whether a live member listens at this address.
    [[nodiscard]] bool knows_address(Address const&) const;
    /// The live, not leaving member of `role` that owns `key`, by rendezvous hashing; the own row takes part. Nothing
    /// when there is none but those in `except`.
    [[nodiscard]] MemberRow const* owner_of(
        std::string const& key, wire::Role role, std::set<MemberId> const& except = {}) const;

private:
    void receive_full(wire::MemberState const&, Instant now, std::vector<MemberEvent>& events);
    void receive_compact(wire::MemberState const&, Revision sender_revision, Instant now);

    MemberRow self;
    Duration silence_limit;
    std::map<MemberId, MemberRow> rows;
    // Incarnations of members that were lost, so that an old view passed on does not bring them back.
    std::map<MemberId, std::pair<Incarnation, u64>> lost;
};

}
