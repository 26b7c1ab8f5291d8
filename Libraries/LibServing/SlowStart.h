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

/// Bounds what all hosts together send to a backend server while it is cold, as the operator has configured it for the
/// service: beyond that it collapses. Each host keeps to a part of its own, so the sum holds without talk about single
/// requests, also for hosts that are cut off from the others. A division by the number of hosts would give none of them
/// a whole request; so the requests of a second are dealt out by hash, for each start of a server to other hosts.
class SlowStart {
public:
    SlowStart(Reach const& reach, Address own_address)
        : reach(reach)
        , own_address(std::move(own_address))
    {
    }

    /// The configuration that is in force from now on.
    void configure(std::shared_ptr<RoutingTable const> routing) { this->routing = std::move(routing); }

    /// Whether one more request may be sent there now.
    [[nodiscard]] bool may_send(Backend const&, Instant now) const;
    /// A request is being sent there.
    void note_sent(Backend&, Instant now) const;

private:
    [[nodiscard]] std::optional<u32> bearable_per_second(Backend const&, Instant now) const;
    [[nodiscard]] u32 own_part(Backend const&, u32 whole, Instant now) const;

    Reach const& reach;
    Address own_address;
    std::shared_ptr<RoutingTable const> routing;
    struct Part {
        u32 units { 0 };
        Instant worked_out_at {};
    };
    /// By server and start. A walk over all hosts for each cold server, for numbers that change when hosts come and go.
    mutable std::map<std::pair<EngineId, ServerStart>, Part> parts;
};

}
