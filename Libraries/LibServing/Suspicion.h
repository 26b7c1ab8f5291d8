/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// The failure that made a host suspect a backend server.
struct Failure {
    /// No connection could be made, which is stronger evidence than one failed response.
    bool is_unreachable { false };
    /// The id of the caller's attempt that failed; empty for a query of the host itself.
    std::string request;
    std::string reason;
};

/// Records a request that failed through the fault of `backend`. If the backend server is avoided from now on, logs an
/// event, and announces it to the other hosts if it is unreachable.
void suspect(ServingContext&, Backend& backend, Failure const&);

/// Whether a connection attempt that has failed says nothing about the backend server, because this host is itself so
/// loaded that its connections take long.
[[nodiscard]] bool is_own_delay(ServingContext const&, Http::ExchangeEnd);

/// Applies the list of backend servers that `host` could not connect to. A backend server that several hosts report is
/// avoided here too.
void apply_suspicions(ServingContext&, MemberId const& host, wire::HostUse const&);

}
