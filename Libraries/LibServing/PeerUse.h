/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibWire/Messages.h>
#include <map>

namespace Serving {

/// What the other entry hosts say that they have running at engines. Each host decides alone, but with the others'
/// decisions in view: they tell each other of every placement at once.
class PeerUse {
public:
    /// A host that has said nothing for three times the period of its whole messages, and for this long at least, is
    /// taken to be gone or cut off, and what it said is forgotten.
    static constexpr Duration shortest_silence = 3s;

    struct Use {
        u32 generations { 0 };
        i64 tokens { 0 };
        i64 unread_tokens { 0 };
        i64 uncopied_tokens { 0 };
        i64 incoming_tokens { 0 };
        bool operator==(Use const&) const = default;
    };

    /// Takes in what `host` says, and adds the difference to the engines in the table.
    void heard(MemberId const& host, wire::HostUse const&, BackendTable&, Instant now);
    /// Forgets hosts that have been silent for too long. Answers their names.
    std::vector<MemberId> forget_silent(BackendTable&, Instant now);
    /// Puts what is known of an engine that has just come into the table.
    void apply_to(Backend&) const;
    [[nodiscard]] size_t count() const { return this->hosts.size(); }

private:
    struct Host {
        Instant heard_at {};
        Duration silence_limit { shortest_silence };
        std::map<EngineId, Use> engines;
    };

    static void replace(std::map<EngineId, Use>& engines, EngineId const&, Use const&, BackendTable&);
    static void add(Backend&, Use const&, int sign);

    std::map<MemberId, Host> hosts;
};

/// What this host has running, for the others. With `previous`, only what has changed since; `previous` is brought up
/// to date.
class OwnUse {
public:
    [[nodiscard]] wire::HostUse whole(BackendTable const&);
    /// Empty when nothing worth telling has changed.
    [[nodiscard]] std::optional<wire::HostUse> changes(BackendTable const&);

private:
    static PeerUse::Use use_of(Backend const&);
    static void append(wire::HostUse&, EngineId const&, PeerUse::Use const&);

    std::map<EngineId, PeerUse::Use> told;
};

}
