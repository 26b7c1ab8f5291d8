/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that a new connection to `backend` was made. A response on an open connection is no sign that another
/// connection could be made.
void record_connected(ServingContext&, Backend const&);
/// Records that no connection to `backend` could be made.
void record_not_connected(ServingContext&, Backend const&);
/// Logs the losses of contact to services that have begun or ended since the last call.
void log_contact_changes(ServingContext&);

/// The query for hosts with contact to the services to which this host has lost it.
wire::ContactQuery contact_query(ServingContext const&);
/// The response to a query. Without services if this host can't serve any of them for the sender.
wire::ContactReport contact_report(ServingContext const&, wire::ContactQuery const&);
void apply_contact_report(ServingContext&, Address const& sender, wire::ContactReport const&);

}
