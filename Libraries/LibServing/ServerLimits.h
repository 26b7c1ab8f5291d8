/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibServing/Reachability.h>
#include <LibServing/RoutingTable.h>
#include <map>

namespace Serving {

/// Enforces a bound on the requests that all hosts together send to a backend server of limited capacity. Each host
/// stays within its own share, so the total bound holds without coordination per request, even for hosts that are
/// partitioned from the others. Dividing the bound by the number of hosts could leave less than one request for each.
/// The requests of a window are therefore distributed by hash, over different hosts for each start of a server.
class ServerLimits {
public:
    ServerLimits(Reachability const& reachability, Address own_address)
        : reachability(reachability)
        , own_address(std::move(own_address))
        , limit_lifetime(limit_lifetime_of(this->own_address))
    {
    }

    /// Requests that all hosts together may send to a server with this rate limit in any `rate_limit_window`.
    [[nodiscard]] static u32 requests_in_window(RequestRate);

    /// Sets the configuration that applies from now on.
    void configure(std::shared_ptr<RoutingTable const> routing) { this->routing = std::move(routing); }

    /// The window in which the requests under a server's rate limit are counted.
    static constexpr Duration rate_limit_window = 4s;

    /// Whether one more request may be sent to the backend server now.
    [[nodiscard]] bool may_send(Backend const&, Instant now) const;
    /// Records that a request is sent to the backend server.
    static void record_sent(Backend&, Instant now);

private:
    /// Why the requests to a backend server are bounded.
    enum class BoundReason : u8 {
        /// The server is cold, and the operator has configured how many requests servers of the service sustain while
        /// cold. A cold server collapses under more.
        ColdStart,
        /// The server has advertised a rate limit.
        RateLimit,
    };
    struct Bound {
        BoundReason reason;
        /// Requests of all hosts in any window of this length.
        u32 requests;
        Duration window;
    };
    [[nodiscard]] std::optional<Bound> cold_start_bound(Backend const&, Instant now) const;
    [[nodiscard]] std::optional<Bound> rate_limit_bound(Backend const&, Instant now) const;
    [[nodiscard]] bool is_within(std::optional<Bound> const&, Backend const&, Instant now) const;
    [[nodiscard]] u32 own_share(Backend const&, Bound const&, Instant now) const;

    [[nodiscard]] static Duration limit_lifetime_of(Address const& own_address);

    Reachability const& reachability;
    Address own_address;
    Duration limit_lifetime;
    std::shared_ptr<RoutingTable const> routing;
    struct Share {
        u32 total { 0 };
        u32 units { 0 };
        Instant computed_at {};
    };
    /// Cached by server and start. Computing a share walks over all hosts, and the result changes only when hosts join
    /// or leave.
    mutable std::map<std::tuple<EngineId, ServerStart, BoundReason>, Share> shares;
};

}
