/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// What made a host suspect a backend server.
struct Failure {
    /// No connection could be made, which says more than one failed answer.
    bool is_unreachable { false };
    /// The caller's attempt that met it; empty for a question of the host's own.
    std::string request;
    std::string reason;
};

/// A request has failed by the fault of `backend`. It may be avoided for a while; then the log says so, and if it is
/// unreachable the other hosts are told.
void suspect(ServingContext&, Backend& backend, Failure const&);

/// Takes in which backend servers `host` could not connect to. Those that several hosts say so of are avoided here too.
void apply_suspicions(ServingContext&, MemberId const& host, wire::HostUse const&);

}
