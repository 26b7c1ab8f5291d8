/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records the rate limit for the requests of all hosts together that a response of `backend` advertises, or that it
/// advertises none any more. A change is announced to the other hosts.
void record_rate_limit(ServingContext&, Backend& backend, std::optional<RequestRate> limit);

/// Applies the rate limits that backend servers have advertised to other hosts. Of two reports about one server the
/// later one applies.
void apply_rate_limits(ServingContext&, wire::HostUse const&);

/// Adds the last advertised rate limit of `backend` to a message.
void put_rate_limit(wire::HostUse&, ServingContext const&, Backend const& backend);

enum class LimitScope : u8 {
    /// Limits that servers have advertised to this host.
    Own,
    /// All known limits, for messages that this host sends as the representative of its domain.
    All,
};

/// Adds the recently advertised rate limits to a full state message.
void put_recent_rate_limits(wire::HostUse&, ServingContext const&, LimitScope);

}
