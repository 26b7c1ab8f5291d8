/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that the process of `backend` terminated unannounced during this run of a request with these fingerprints,
/// and notifies the other hosts.
void record_termination_under(
    ServingContext&, std::span<RequestFingerprint const>, Backend const& backend, InterruptedRun const&);
inline void record_termination_under(
    ServingContext& context, RequestFingerprint const& request, Backend const& backend, InterruptedRun const& run)
{
    record_termination_under(context, std::span(&request, 1), backend, run);
}

/// Notifies the other hosts that a request with these parts is tried, of which some are quarantined. Returns whether
/// any is.
bool begin_trial(ServingContext&, std::span<RequestFingerprint const> parts);

/// Records that the backend server is still running although a run of the request has ended, or although a request with
/// these prompt parts has received an event.
void record_run_survived(ServingContext&, std::span<RequestFingerprint const>);
inline void record_run_survived(ServingContext& context, RequestFingerprint const& request)
{
    record_run_survived(context, std::span(&request, 1));
}

/// Removes expired entries.
void forget_expired_terminations(ServingContext&);

/// Applies what another host reports about requests during which servers terminated. Returns the prompt parts among
/// them that this host has recently cleared, of which the other host does not know.
std::vector<RequestFingerprint> apply_request_terminations(ServingContext&, wire::HostUse const&);

/// Adds the known state of one request to a message, or that it is cleared if there is none.
void put_request_termination(wire::HostUse&, ServingContext const&, RequestFingerprint const&);

/// Adds a reply to a host that suspects a part that this host has recently cleared.
void put_clearance_reply(wire::HostUse&, RequestFingerprint const& part);

/// Adds the recently changed entries to a full state message, and a subset of the other quarantined requests that
/// rotates with `round`, for hosts that have missed an announcement.
void put_recent_request_terminations(wire::HostUse&, ServingContext const&, u64 round);

/// Adds all known entries, for a host that has just started.
void put_all_request_terminations(wire::HostUse&, ServingContext const&);

}
