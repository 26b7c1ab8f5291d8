/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that no connection to `backend` could be made, as evidence about its failure domain.
void record_failed_connection(ServingContext&, Backend const&);
/// Records that `backend` has responded, or at least accepted a connection, which clears its failure domain.
void record_responding_server(ServingContext&, Backend const&);

void put_doubts(wire::HostUse&, std::vector<Overload::DoubtReport> const&);
/// Applies the doubts that another host or domain reports. Returns whether the hosts of this domain newly agree on one,
/// or on its end.
bool apply_doubts(ServingContext&, MemberId const& reporter, Overload::DoubtReporter, wire::HostUse const&);

/// Logs the doubts that have begun or ended since the last call.
void log_doubt_changes(ServingContext&);

}
