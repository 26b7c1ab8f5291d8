/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// An answer of `backend` names the requests that it takes from all hosts together, or does not any more. The other
/// hosts are told.
void record_rate_limit(ServingContext&, Backend& backend, std::optional<RequestRate> limit);

/// Takes in what backend servers have named to other hosts; of two words of one server the later one holds.
void apply_rate_limits(ServingContext&, wire::HostUse const&);

/// Adds to a message what `backend` has named last.
void put_rate_limit(wire::HostUse&, ServingContext const&, Backend const& backend);

enum class LimitScope : u8 {
    /// What servers have named to this host.
    Own,
    /// What is known of any, for those that this host speaks to for others.
    All,
};

/// Adds to a whole message what backend servers have named lately.
void put_recent_rate_limits(wire::HostUse&, ServingContext const&, LimitScope);

}
