/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that the process of `backend` terminated unannounced while it ran the request, and notifies the other hosts.
void record_termination_under(ServingContext&, RequestFingerprint const&, Backend const& backend);

/// Records that a run of the request has ended and that the backend server is still running.
void record_run_survived(ServingContext&, RequestFingerprint const&);

/// Removes expired entries.
void forget_expired_terminations(ServingContext&);

/// Applies what another host reports about requests during which servers terminated.
void apply_request_terminations(ServingContext&, wire::HostUse const&);

/// Adds the known state of one request to a message, or that it is cleared if there is none.
void put_request_termination(wire::HostUse&, ServingContext const&, RequestFingerprint const&);

/// Adds the recently changed entries to a full state message, and a subset of the other quarantined requests that
/// rotates with `round`, for hosts that have missed an announcement.
void put_recent_request_terminations(wire::HostUse&, ServingContext const&, u64 round);

/// Adds all known entries, for a host that has just started.
void put_all_request_terminations(wire::HostUse&, ServingContext const&);

}
