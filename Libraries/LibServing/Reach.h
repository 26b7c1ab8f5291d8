/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <vector>

namespace Serving {

/// What this host can tell of partitions from who has been heard of lately.
class Reach {
public:
    explicit Reach(FailureDomainId own_domain)
        : own_domain(std::move(own_domain))
    {
    }

    /// What a host says of itself in a whole message.
    struct Said {
        FailureDomainId domain;
        /// Until its next whole message.
        Duration period { 1s };
        bool platform_is_lost { false };
    };

    void heard(Address const& host, Said const& said, Instant now);
    void heard(Address const& host, Instant now);
    /// Known from the platform's table, and not heard yet.
    void learn(Address const& host, FailureDomainId const& domain);
    void platform_is_lost() { this->platform_lost = true; }
    void platform_answers() { this->platform_lost = false; }
    [[nodiscard]] bool platform_lost_here() const { return this->platform_lost; }

    [[nodiscard]] bool is_near(Address const& host) const;
    [[nodiscard]] bool is_heard(Address const& host, Instant now) const;
    /// Whether this host reads the platform's tables, or hears of them from another one of its domain that does.
    [[nodiscard]] bool reads_platform(Address const& own_address, Instant now) const;
    /// Whether this host is the one of its domain that passes on what it reads.
    [[nodiscard]] bool is_first_reader(Address const& own_address, Instant now) const;
    /// A host of each other domain that reads the platform for it.
    [[nodiscard]] std::vector<Address> readers_elsewhere(Instant now) const;
    /// Whether news of backend servers may not come: the platform does not answer, or all other hosts are silent.
    [[nodiscard]] bool is_cut_off(Instant now) const;
    /// Whether this host is the one among those that it hears which looks after `subject`. Hosts that hear the same
    /// others agree on it (rendezvous hashing).
    [[nodiscard]] bool looks_after(Address const& own_address, std::string_view subject, Instant now) const;
    /// Other domains all of whose hosts have fallen silent.
    [[nodiscard]] std::vector<FailureDomainId> silent_domains(Instant now) const;

private:
    /// A host that has been silent for so long has gone for good, or was replaced.
    static constexpr Duration forgotten_after = 60s;
    /// Whole messages that may be missed before a host counts as silent, and the time that one may be late.
    static constexpr int tolerated_missing_messages = 2;
    static constexpr Duration tolerated_lateness = 200ms;
    /// In a domain of many hosts some message of some host comes all the time; this is for a few that are late
    /// together.
    static constexpr Duration shortest_domain_silence = 1s;
    /// Hosts of a larger domain that read the platform; a small one has the readers of the others to fall back on.
    static constexpr size_t readers_of_large_domain = 2;
    static constexpr size_t large_domain = 4;

    struct Host {
        Said said;
        Instant heard_at {};
    };
    [[nodiscard]] static bool is_silent(Host const& host, Instant now)
    {
        return now - host.heard_at > tolerated_missing_messages * host.said.period + tolerated_lateness;
    }
    [[nodiscard]] static bool is_forgotten(Host const& host, Instant now)
    {
        return now - host.heard_at > forgotten_after;
    }
    /// Hosts of this domain that the platform answers and that come before this one in the order of readers.
    [[nodiscard]] size_t able_readers_before(Address const& own_address, Instant now) const;
    [[nodiscard]] std::vector<Address> able_readers(FailureDomainId const& domain, Instant now) const;

    FailureDomainId own_domain;
    std::map<Address, Host> hosts;
    bool platform_lost { false };
};

}
