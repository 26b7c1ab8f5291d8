/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// The process of `backend` has ended, unannounced, while the request was there. The other hosts are told.
void record_termination_under(ServingContext&, RequestFingerprint const&, Backend const& backend);

/// A run of the request has ended, and the backend server lives.
void record_run_survived(ServingContext&, RequestFingerprint const&);

/// Lets go of what is remembered no longer.
void forget_expired_terminations(ServingContext&);

/// Takes in what another host knows of requests under which servers end.
void apply_request_terminations(ServingContext&, wire::HostUse const&);

/// Adds to a message what is known of one request; that it is cleared, where nothing is.
void put_request_termination(wire::HostUse&, ServingContext const&, RequestFingerprint const&);

/// Adds to a whole message what has changed lately, and in turn, by the number of the `round`, what is held back: so it
/// also comes to those that have missed a word.
void put_recent_request_terminations(wire::HostUse&, ServingContext const&, u64 round);

/// Adds all that is known, for a host that has just started.
void put_all_request_terminations(wire::HostUse&, ServingContext const&);

}
