/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Serving {

/// A host by the platform's table of hosts.
struct KnownHost {
    Address address;
    FailureDomainId domain;
};

/// Who speaks for a failure domain, who reads the platform, and what can be told of partitions, from who has been heard
/// of lately. Hosts of one domain hear each other; of other domains only those are heard that speak for them.
class Reachability {
public:
    explicit Reachability(FailureDomainId own_domain)
        : own_domain(std::move(own_domain))
    {
    }

    /// Hosts of a domain that tell other domains what its hosts have running: a second one is there for when the first
    /// one falls silent, so that the domain is not taken to be cut off.
    static constexpr size_t representatives_per_domain = 2;
    /// Hosts of a domain that has not been heard lately to which something is sent at a time, in the hope that one
    /// lives.
    static constexpr size_t probes_per_silent_domain = 2;

    /// What a host says of itself in a whole message.
    struct HostStatus {
        FailureDomainId domain;
        /// Until its next whole message.
        Duration period { 1s };
        bool platform_unavailable { false };
        /// Hosts of its domain that may be serving, as far as it knows; 0 while it does not know.
        u32 hosts_of_domain { 0 };
    };

    void record_message(Address const& host, HostStatus const& status, Instant now);
    void record_message(Address const& host, Instant now);
    /// Takes in the platform's table of the other hosts, as of `now`. Those that it names first have not been heard.
    void update_known_hosts(std::span<KnownHost const>, Instant now);
    /// What this host says of itself. `period`: until it says so again.
    [[nodiscard]] HostStatus own_status(Duration period, Instant now) const;
    void set_platform_unavailable() { this->platform_unavailable = true; }
    void set_platform_available() { this->platform_unavailable = false; }
    [[nodiscard]] bool is_platform_unavailable() const { return this->platform_unavailable; }

    [[nodiscard]] bool is_local(Address const& host) const;
    [[nodiscard]] bool is_reachable(Address const& host, Instant now) const;
    /// Whether this host reads the platform's tables, or hears of them from another one of its domain that does.
    [[nodiscard]] bool reads_platform(Address const& own_address, Instant now) const;
    /// Whether this host is the one of its domain that passes on what it reads.
    [[nodiscard]] bool is_primary_reader(Address const& own_address, Instant now) const;
    /// How many hosts of its domain come before this one in speaking for it; those that the platform answers come
    /// first.
    [[nodiscard]] size_t representatives_before(Address const& own_address, Instant now) const;
    [[nodiscard]] bool is_representative(Address const& own_address, Instant now) const
    {
        return this->representatives_before(own_address, now) < representatives_per_domain;
    }
    /// Whether this host is the one of all domains that are heard which is to know changes of the platform first; it
    /// tells the others.
    [[nodiscard]] bool is_leading_reader(Address const& own_address, Instant now) const;
    /// For each other domain the host that was last heard to speak for it; some of its hosts, drawn anew by each
    /// `draw`, where none was heard lately.
    [[nodiscard]] std::vector<Address> remote_receivers(u64 draw, Instant now) const;
    /// Hosts of other domains that are known, whether they live or not.
    [[nodiscard]] size_t remote_host_count() const;
    /// Other hosts of this domain.
    [[nodiscard]] size_t reachable_local_hosts(Instant now) const;
    /// All hosts that may be serving, this one included: those that were heard or heard of not long ago, also when they
    /// are cut off now. Nothing until the platform's table of hosts has been read.
    [[nodiscard]] std::optional<u32> fleet_size(Instant now) const;
    /// For how long this host has known who else there is; nothing before it does.
    [[nodiscard]] std::optional<Duration> fleet_known_for(Instant now) const;
    /// This host's part of `whole` indivisible units of `subject`, something in `domain`, such as requests that it
    /// bears in a second. The parts of all hosts that may be serving add up to no more than the whole where they know
    /// the same hosts: each domain has its share by number of hosts, that of the subject also what the division leaves,
    /// and inside a domain the units that are too few for all go to hosts by rendezvous hashing. Nothing until the
    /// platform's table of hosts has been read.
    [[nodiscard]] u32 share_of(u32 whole, Address const& own_address, std::string_view subject,
        FailureDomainId const& domain, Instant now) const;
    /// How long ago a domain was last heard; the longest time for one that never was.
    [[nodiscard]] Duration domain_message_age(FailureDomainId const& domain, Instant now) const;
    /// Whether news of backend servers may not come: the platform does not answer, or all other hosts are silent.
    [[nodiscard]] bool is_partitioned(Instant now) const;
    /// Whether this host is the one among those that it hears which looks after `subject`, something that is in
    /// `domain`. Hosts of that domain go before all others. Hosts that hear the same others agree on it (rendezvous
    /// hashing).
    [[nodiscard]] bool is_responsible_for(
        Address const& own_address, std::string_view subject, FailureDomainId const& domain, Instant now) const;
    /// Other domains all of whose hosts have fallen silent.
    [[nodiscard]] std::vector<FailureDomainId> silent_domains(Instant now) const;

private:
    /// A host that has been silent for so long has gone for good, or was replaced.
    static constexpr Duration forgotten_after = 60s;
    /// A host that is cut off goes on serving its callers, and partitions may last for an hour; one that has been
    /// silent for twice as long does not count any more.
    static constexpr Duration counted_after_silence = 2h;
    /// Whole messages that may be missed before a host counts as silent, and the time that one may be late.
    static constexpr int tolerated_missing_messages = 2;
    static constexpr Duration tolerated_lateness = 200ms;
    /// In a domain of many hosts some message of some host comes all the time; this is for a few that are late
    /// together.
    static constexpr Duration min_domain_silence = 1s;
    /// Hosts of a larger domain that read the platform; a small one has the readers of the others to fall back on.
    static constexpr size_t readers_of_large_domain = 2;
    static constexpr size_t large_domain = 4;

    struct Host {
        HostStatus status;
        Instant received_at {};
        /// When it was first known.
        Instant known_since {};
        /// Of its address; with that of a subject it gives the host's rank for the subject.
        u64 hash { 0 };
    };
    [[nodiscard]] static bool is_silent(Host const& host, Instant now)
    {
        return now - host.received_at > tolerated_missing_messages * host.status.period + tolerated_lateness;
    }
    [[nodiscard]] static bool is_forgotten(Host const& host, Instant now)
    {
        return host.received_at == Instant {} || now - host.received_at > forgotten_after;
    }
    [[nodiscard]] static bool may_serve(Host const& host, Instant now)
    {
        return now - std::max(host.received_at, host.known_since) <= counted_after_silence;
    }
    Host& entry_of(Address const& host, Instant now);
    /// With this one.
    [[nodiscard]] u32 hosts_of_own_domain(Instant now) const;
    /// Hosts of this domain that may be serving and come before this one for the subject.
    [[nodiscard]] u32 local_hosts_before(Address const& own_address, u64 subject_hash, Instant now) const;
    /// Of each other domain: what those that speak for it say, or else how many are known.
    [[nodiscard]] std::map<FailureDomainId, u32> hosts_of_other_domains(Instant now) const;
    [[nodiscard]] bool is_available_reader(Host const& host, Instant now) const;
    /// Hosts of this domain that the platform answers and that come before this one in the order of readers.
    [[nodiscard]] size_t available_readers_before(Address const& own_address, Instant now) const;
    [[nodiscard]] size_t available_readers(Instant now) const;
    [[nodiscard]] std::vector<FailureDomainId> other_domains() const;
    [[nodiscard]] std::vector<Address> receivers_in(FailureDomainId const& domain, u64 draw, Instant now) const;

    FailureDomainId own_domain;
    std::map<Address, Host> hosts;
    bool platform_unavailable { false };
    /// Nothing until the platform's table of hosts has been read.
    std::optional<Instant> table_read_at;
};

}
