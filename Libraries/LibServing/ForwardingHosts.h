/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibServing/Regions.h>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Serving {

/// Tracks the other hosts that report contact to services to which this host has lost it, and chooses the one to which
/// a request is forwarded.
class ForwardingHosts {
public:
    /// Requirements on the host that gets a request.
    struct Need {
        ServiceName service;
        /// Hosts to which the request was forwarded before.
        std::span<Address const> tried;
        /// The domain of this host, whose hosts take precedence.
        FailureDomainId own_domain;
        /// The request and its response may pass only through hosts of these regions.
        AllowedRegions regions;
        std::map<FailureDomainId, RegionId> const& region_of;
    };

    /// Records that `host`, which is in `domain`, reports contact to these services.
    void record_contact(
        Address const& host, FailureDomainId const& domain, std::span<ServiceName const> services, Instant now);
    /// Records that `host` could not be reached, or is stopping, or has lost contact as well.
    void record_failure(Address const& host, Instant now);
    /// To be called when a request is forwarded to `host`, and when it has ended.
    void record_begin(Address const& host) { ++this->hosts[host].in_flight; }
    void record_end(Address const& host);
    /// Returns the host with the fewest requests of this host among those of its domain, or else among all others.
    /// Empty if none is known. `draw`: a random number, so that hosts with the same view choose differently.
    [[nodiscard]] std::optional<Address> choose(Need const&, u64 draw, Instant now) const;
    /// Drops hosts whose reports have expired.
    void forget_expired(Instant now);

private:
    /// Reports are requested several times in this period, so that a lost datagram does not matter.
    static constexpr Duration report_lifetime = 1500ms;
    /// How long a host is avoided after a failure; its next reports may still be of the time before.
    static constexpr Duration avoidance = 1s;

    struct Host {
        FailureDomainId domain;
        std::map<ServiceName, Instant> contact_at;
        Instant avoid_until {};
        u32 in_flight { 0 };
    };
    [[nodiscard]] static bool may_get(Host const&, Address const&, Need const&, Instant now);

    std::map<Address, Host> hosts;
};

}
