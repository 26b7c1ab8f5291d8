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

    void heard(Address const& host, FailureDomainId const& domain, Instant now);
    void heard(Address const& host, Instant now);
    /// For how long a host that is there may say nothing.
    void set_silence_limit(Duration limit) { this->silence_limit = limit; }
    void platform_is_lost() { this->platform_lost = true; }
    void platform_answers() { this->platform_lost = false; }

    /// Whether news of backend servers may not come: the platform does not answer, or all other hosts are silent.
    [[nodiscard]] bool is_cut_off(Instant now) const;
    /// Whether some host that was there lately is silent, so that its work at engines is not known.
    [[nodiscard]] bool misses_hosts(Instant now) const;
    /// Whether this host is the one among those that it hears which looks after `subject`. Hosts that hear the same
    /// others agree on it (rendezvous hashing).
    [[nodiscard]] bool looks_after(Address const& own_address, std::string_view subject, Instant now) const;
    /// Other domains all of whose hosts have fallen silent.
    [[nodiscard]] std::vector<FailureDomainId> silent_domains(Instant now) const;

private:
    /// A host that has been silent for so long has gone for good, or was replaced.
    static constexpr Duration forgotten_after = 60s;

    struct Host {
        FailureDomainId domain;
        Instant heard_at {};
    };
    [[nodiscard]] bool is_silent(Host const& host, Instant now) const
    {
        return now - host.heard_at > this->silence_limit;
    }
    [[nodiscard]] bool is_forgotten(Host const& host, Instant now) const
    {
        return now - host.heard_at > forgotten_after;
    }

    FailureDomainId own_domain;
    std::map<Address, Host> hosts;
    Duration silence_limit { 2s };
    bool platform_lost { false };
};

}
