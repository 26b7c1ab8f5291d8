/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibWire/Messages.h>
#include <map>
#include <set>

namespace Serving {

/// What the other entry hosts say that they have running at engines. Each host decides alone, but with the others'
/// decisions in view: they tell each other of every placement at once.
class PeerUse {
public:
    /// A host that has said nothing for three times the period of its whole messages, and for this long at least, is
    /// taken to be gone or cut off, and what it said is forgotten.
    static constexpr Duration min_silence_limit = 3s;

    using Use = EngineWork;

    /// What is said of one engine, and of which of its starts.
    struct ReportedUse {
        ServerStart start;
        Use use;
    };

    /// Takes in what `host` says, and adds the difference to the engines in the table. What is said of a whole failure
    /// domain is kept under the domain's name, whichever of its hosts says it.
    void apply(MemberId const& host, wire::HostUse const&, BackendTable&, Instant now);
    /// Forgets hosts that have been silent for too long. Answers their names.
    std::vector<MemberId> forget_silent(BackendTable&, Instant now);
    /// Puts what is known of an engine that has just come into the table.
    void apply_to(Backend&) const;
    [[nodiscard]] size_t count() const { return this->hosts.size(); }

private:
    struct Host {
        Instant last_seen {};
        Duration silence_limit { min_silence_limit };
        /// One host of this failure domain; else all hosts of another one together.
        bool is_local { true };
        std::map<EngineId, ReportedUse> engines;
    };

    static void replace(Host&, EngineId const&, ReportedUse const&, BackendTable&);
    static void forget_all_but(Host&, std::set<EngineId> const& named, BackendTable&);
    static void add(Backend&, Use const&, bool is_local, int sign);

    std::map<MemberId, Host> hosts;
};

/// Whose use of engines is told.
enum class UseScope : u8 {
    /// This host's, to those of its failure domain.
    Host,
    /// That of all hosts of this failure domain, to other domains.
    Domain,
};

/// What this host or its failure domain has running, for others: as a whole, or what has changed since it was told.
class OwnUse {
public:
    explicit OwnUse(UseScope scope = UseScope::Host)
        : scope(scope)
    {
    }

    [[nodiscard]] wire::HostUse full_state(BackendTable const&);
    /// Empty when nothing worth telling has changed.
    [[nodiscard]] std::optional<wire::HostUse> delta(BackendTable const&);

private:
    [[nodiscard]] PeerUse::Use use_of(Backend const&) const;
    static void append(wire::HostUse&, BackendServer const&, PeerUse::Use const&);

    UseScope scope;
    std::map<EngineId, PeerUse::Use> told;
};

}
