/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibServing/Reach.h>
#include <LibServing/RoutingTable.h>
#include <map>

namespace Serving {

/// Bounds what all hosts together send to a backend server that bears less than it is asked for. Each host keeps to a
/// part of its own, so the sum holds without talk about single requests, also for hosts that are cut off from the
/// others. A division by the number of hosts would give none of them a whole request; so the requests of a span are
/// dealt out by hash, for each start of a server to other hosts.
class ServerLimits {
public:
    ServerLimits(Reach const& reach, Address own_address)
        : reach(reach)
        , own_address(std::move(own_address))
        , limit_lifetime(limit_lifetime_of(this->own_address))
    {
    }

    /// How many requests of all hosts a server that names a limit gets in any `rate_limit_window`.
    [[nodiscard]] static u32 requests_in_window(RequestRate);

    /// The configuration that is in force from now on.
    void configure(std::shared_ptr<RoutingTable const> routing) { this->routing = std::move(routing); }

    /// In which a server gets as many as it has named a limit for.
    static constexpr Duration rate_limit_window = 4s;

    /// Whether one more request may be sent there now.
    [[nodiscard]] bool may_send(Backend const&, Instant now) const;
    /// A request is being sent there.
    static void record_sent(Backend&, Instant now);

private:
    /// What a backend server bears, and why.
    enum class BoundReason : u8 {
        /// It is cold, and the operator has configured what servers of the service bear then: beyond that it collapses.
        ColdStart,
        /// It has named a limit.
        RateLimit,
    };
    struct Bound {
        BoundReason reason;
        /// Requests of all hosts in any span of this length.
        u32 requests;
        Duration window;
    };
    [[nodiscard]] std::optional<Bound> cold_start_bound(Backend const&, Instant now) const;
    [[nodiscard]] std::optional<Bound> rate_limit_bound(Backend const&, Instant now) const;
    [[nodiscard]] bool is_within(std::optional<Bound> const&, Backend const&, Instant now) const;
    [[nodiscard]] u32 own_share(Backend const&, Bound const&, Instant now) const;

    [[nodiscard]] static Duration limit_lifetime_of(Address const& own_address);

    Reach const& reach;
    Address own_address;
    Duration limit_lifetime;
    std::shared_ptr<RoutingTable const> routing;
    struct Share {
        u32 total { 0 };
        u32 units { 0 };
        Instant computed_at {};
    };
    /// By server and start. A walk over all hosts for each such server, for numbers that change when hosts come and go.
    mutable std::map<std::tuple<EngineId, ServerStart, BoundReason>, Share> shares;
};

}
