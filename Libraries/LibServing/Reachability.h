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
#include <tuple>
#include <vector>

namespace Serving {

/// An entry of the platform's table of hosts.
struct KnownHost {
    Address address;
    FailureDomainId domain;
    /// Class of its processor and link; the higher, the more it can carry.
    u32 strength { 0 };
};

/// Tracks the other hosts and when each was last seen. From that it derives which hosts represent a failure domain,
/// which hosts read the platform's tables, and whether there is a partition. Hosts of one domain receive messages from
/// each other; from other domains they receive messages from the representatives only.
class Reachability {
public:
    explicit Reachability(FailureDomainId own_domain, u32 own_strength = 0)
        : own_domain(std::move(own_domain))
        , own_strength(own_strength)
    {
    }

    /// Number of hosts that announce to other domains what all hosts of their domain have running. The second one takes
    /// over when the first one falls silent; without it the domain would look partitioned in the meantime.
    static constexpr size_t representatives_per_domain = 2;
    /// Number of hosts of a silent domain to which a message is sent at a time, in case one of them is running.
    static constexpr size_t probes_per_silent_domain = 2;

    /// The status that a host reports in a full state message.
    struct HostStatus {
        FailureDomainId domain;
        /// Time until the host's next full state message.
        Duration period { 1s };
        bool platform_unavailable { false };
        /// Number of hosts of its domain that may be serving, as known to the host; 0 while unknown.
        u32 hosts_of_domain { 0 };
        /// Class of its processor and link. The strongest hosts of a domain represent it and read the platform.
        u32 strength { 0 };
    };

    /// Records a full state message from a host.
    void record_message(Address const& host, HostStatus const& status, Instant now);
    /// Records any other message from a host.
    void record_message(Address const& host, Instant now);
    /// Another host reports that a host of this domain has fallen silent. Has no effect if this host has received a
    /// message of it lately. Returns whether the host is silent from now on.
    bool record_loss(Address const& host, Instant now);
    /// Adds other hosts of the platform's table, as read at `now`. A newly added host counts as not yet seen.
    /// `is_complete`: these are all hosts of all domains.
    void update_known_hosts(std::span<KnownHost const>, Instant now, bool is_complete = true);
    /// All known hosts that may be serving, except this one.
    [[nodiscard]] std::vector<KnownHost> known_hosts(Instant now) const;
    /// The other hosts of this domain that are reachable or have become known within `recently`.
    [[nodiscard]] std::vector<KnownHost> local_hosts(Duration recently, Instant now) const;
    [[nodiscard]] u32 strength() const { return this->own_strength; }
    /// The status of this host. `period`: time until its next full state message.
    [[nodiscard]] HostStatus own_status(Duration period, Instant now) const;
    void set_platform_unavailable() { this->platform_unavailable = true; }
    void set_platform_available() { this->platform_unavailable = false; }
    [[nodiscard]] bool is_platform_unavailable() const { return this->platform_unavailable; }

    [[nodiscard]] bool is_local(Address const& host) const;
    [[nodiscard]] bool is_reachable(Address const& host, Instant now) const;
    /// Whether this host reads the platform's tables itself. Otherwise it receives updates from a reader of its domain.
    [[nodiscard]] bool reads_platform(Address const& own_address, Instant now) const;
    /// Whether this host is the reader of its domain that forwards the updates it reads.
    [[nodiscard]] bool is_primary_reader(Address const& own_address, Instant now) const;
    /// Number of hosts of this domain that precede this host in the order of representatives. Hosts to which the
    /// platform is available come first.
    [[nodiscard]] size_t representatives_before(Address const& own_address, Instant now) const;
    [[nodiscard]] bool is_representative(Address const& own_address, Instant now) const
    {
        return this->representatives_before(own_address, now) < representatives_per_domain;
    }
    /// Whether this host is the one reader, among all reachable domains, that polls the platform promptly and sends
    /// updates to the others.
    [[nodiscard]] bool is_leading_reader(Address const& own_address, Instant now) const;
    /// The reachable hosts of this domain that come first as its representatives, without this host, at most `count`.
    [[nodiscard]] std::vector<Address> first_local_hosts(size_t count, Instant now) const;
    /// The first representative of this host's domain, which may be this host.
    [[nodiscard]] Address first_representative(Address const& own_address, Instant now) const;
    /// The other domains of which a host is reachable.
    [[nodiscard]] std::vector<FailureDomainId> reachable_domains(Instant now) const;
    /// The receivers of a message to all other domains: for each domain the representative that was last seen or, if
    /// none was seen lately, a few of its hosts that are drawn at random by `draw`.
    [[nodiscard]] std::vector<Address> remote_receivers(u64 draw, Instant now) const;
    [[nodiscard]] size_t known_host_count() const { return this->hosts.size(); }
    /// Number of known hosts of other domains, reachable or not.
    [[nodiscard]] size_t remote_host_count() const;
    /// Number of other hosts of this domain that are reachable.
    [[nodiscard]] size_t reachable_local_hosts(Instant now) const;
    /// Number of hosts that may be serving, including this one. Partitioned hosts count too, until they have been
    /// silent for `counted_after_silence`. Empty until the platform's table of hosts has been read.
    [[nodiscard]] std::optional<u32> fleet_size(Instant now) const;
    /// Time since the platform's table of hosts was first read; empty before that.
    [[nodiscard]] std::optional<Duration> fleet_known_for(Instant now) const;
    /// This host's share of `whole` indivisible units of `subject`, which is in `domain`, such as the requests per
    /// second that a backend server can handle. The shares of all hosts that may be serving add up to at most `whole`
    /// if they know the same hosts. Each domain gets a share proportional to its number of hosts, and the subject's
    /// domain also gets the remainder of that division. Within a domain the remainder is assigned to hosts by
    /// rendezvous hashing. Zero until the platform's table of hosts has been read.
    [[nodiscard]] u32 share_of(u32 whole, Address const& own_address, std::string_view subject,
        FailureDomainId const& domain, Instant now) const;
    /// Time since the last message from a domain; `Duration::max()` if there was none.
    [[nodiscard]] Duration domain_message_age(FailureDomainId const& domain, Instant now) const;
    /// Whether updates about backend servers may be missing: the platform is unavailable, or all other hosts are
    /// silent.
    [[nodiscard]] bool is_partitioned(Instant now) const;
    /// Whether this host, among itself and the hosts reachable from it, is the one responsible for `subject`, which is
    /// in `domain`. Hosts of that domain take precedence. Hosts that can reach the same others agree on the responsible
    /// one (rendezvous hashing).
    [[nodiscard]] bool is_responsible_for(
        Address const& own_address, std::string_view subject, FailureDomainId const& domain, Instant now) const;
    /// The other domains in which all hosts are silent.
    [[nodiscard]] std::vector<FailureDomainId> silent_domains(Instant now) const;

private:
    /// A host that has been silent for this long has been removed or replaced, and no longer indicates a partition.
    static constexpr Duration forgotten_after = 60s;
    /// A partitioned host continues to serve its callers, and a partition may last for an hour. A host that has been
    /// silent for twice as long no longer counts towards the number of hosts.
    static constexpr Duration counted_after_silence = 2h;
    /// Number of full state messages that a host may miss before it counts as silent, and how late a message may be.
    static constexpr int tolerated_missing_messages = 2;
    static constexpr Duration tolerated_lateness = 200ms;
    /// Lower bound of the time without messages after which a domain counts as silent. A domain of many hosts sends
    /// messages almost continuously; the bound tolerates several of them being late together.
    static constexpr Duration min_domain_silence = 1s;
    /// Number of hosts of a large domain that read the platform. A small domain has one reader, with those of the other
    /// domains as a fallback.
    static constexpr size_t readers_of_large_domain = 2;
    static constexpr size_t large_domain = 4;

    struct Host {
        HostStatus status;
        Instant last_seen {};
        /// When this host first learned of the other one.
        Instant known_since {};
        /// Another host has reported that it has fallen silent, and no message of it has arrived since.
        bool is_reported_lost { false };
        /// Hash of the address. Combined with the hash of a subject it gives the host's rank for that subject.
        u64 hash { 0 };
    };
    [[nodiscard]] static bool is_silent(Host const& host, Instant now)
    {
        return host.is_reported_lost
            || now - host.last_seen > tolerated_missing_messages * host.status.period + tolerated_lateness;
    }
    [[nodiscard]] static bool is_forgotten(Host const& host, Instant now)
    {
        return host.last_seen == Instant {} || now - host.last_seen > forgotten_after;
    }
    [[nodiscard]] static bool may_serve(Host const& host, Instant now)
    {
        return now - std::max(host.last_seen, host.known_since) <= counted_after_silence;
    }
    [[nodiscard]] static std::tuple<bool, u32, u64> precedence_of(Host const&);
    [[nodiscard]] std::tuple<bool, u32, u64> own_precedence(Address const& own_address) const;
    Host& entry_of(Address const& host, Instant now);
    /// Number of hosts of this domain that may be serving, including this host.
    [[nodiscard]] u32 hosts_of_own_domain(Instant now) const;
    /// Number of hosts of this domain that may be serving and have a higher rank for the subject than this host.
    [[nodiscard]] u32 local_hosts_before(Address const& own_address, u64 subject_hash, Instant now) const;
    /// Number of hosts of each other domain: as reported by its representatives, or else as known to this host.
    [[nodiscard]] std::map<FailureDomainId, u32> hosts_of_other_domains(Instant now) const;
    [[nodiscard]] bool is_available_reader(Host const& host, Instant now) const;
    /// Number of hosts of this domain to which the platform is available and that precede this host in the order of
    /// readers.
    [[nodiscard]] size_t available_readers_before(Address const& own_address, Instant now) const;
    [[nodiscard]] size_t available_readers(Instant now) const;
    [[nodiscard]] std::vector<FailureDomainId> other_domains() const;
    [[nodiscard]] std::vector<Address> receivers_in(FailureDomainId const& domain, u64 draw, Instant now) const;

    FailureDomainId own_domain;
    u32 own_strength;
    std::map<Address, Host> hosts;
    bool platform_unavailable { false };
    /// When the platform's table of hosts was first read; empty before that.
    std::optional<Instant> table_read_at;
};

}
