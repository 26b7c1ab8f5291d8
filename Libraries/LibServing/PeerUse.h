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

/// The engine use of the other entry hosts, as they report it. Each host makes its own placement decisions, but takes
/// the placements of the others into account: hosts announce every placement to each other at once.
class PeerUse {
public:
    /// Lower bound of the silence after which a host counts as terminated or partitioned and its reported use is
    /// dropped. The limit is three periods of its full state messages if that is longer.
    static constexpr Duration min_silence_limit = 3s;

    using Use = EngineWork;

    /// The reported use of an engine, and the start of the engine that the report is about.
    struct ReportedUse {
        ServerStart start;
        Use use;
    };

    /// Applies a message of `host`, and adds the difference to the engines in the table. The use of a whole failure
    /// domain is stored under the domain's name, no matter which of its representatives reports it.
    void apply(MemberId const& host, wire::HostUse const&, BackendTable&, Instant now);
    /// Drops the use of hosts that have been silent for too long. Returns the names of these hosts.
    std::vector<MemberId> forget_silent(BackendTable&, Instant now);
    /// Drops the use of a host.
    void forget(MemberId const& host, BackendTable&);
    /// Adds the known use to an engine that has just been added to the table.
    void apply_to(Backend&) const;
    [[nodiscard]] size_t count() const { return this->hosts.size(); }

private:
    struct Host {
        Instant last_seen {};
        Duration silence_limit { min_silence_limit };
        /// Whether this is one host of the own failure domain. Otherwise it stands for all hosts of another domain.
        bool is_local { true };
        std::map<EngineId, ReportedUse> engines;
    };

    static void replace(Host&, EngineId const&, ReportedUse const&, BackendTable&);
    static void forget_all_but(Host&, std::set<EngineId> const& named, BackendTable&);
    static void add(Backend&, Use const&, bool is_local, int sign);

    std::map<MemberId, Host> hosts;
};

/// Whose use of engines a message reports.
enum class UseScope : u8 {
    /// The use of this host, sent to the hosts of its failure domain.
    Host,
    /// The use of all hosts of this failure domain, sent to other domains.
    Domain,
};

/// Builds the messages that report the engine use of this host or of its failure domain.
class OwnUse {
public:
    explicit OwnUse(UseScope scope = UseScope::Host)
        : scope(scope)
    {
    }

    /// The use of all engines. Later deltas are relative to it.
    [[nodiscard]] wire::HostUse full_state(BackendTable const&);
    /// The engines whose use has changed since it was last sent; empty if there is no change worth sending.
    [[nodiscard]] std::optional<wire::HostUse> delta(BackendTable const&);

private:
    [[nodiscard]] PeerUse::Use use_of(Backend const&) const;
    static void append(wire::HostUse&, BackendServer const&, PeerUse::Use const&);

    UseScope scope;
    std::map<EngineId, PeerUse::Use> last_sent;
};

}
