/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/EventGaps.h>
#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records the load that a response of `backend` reports, if any, and its slowness.
void record_load(ServingContext&, Backend& backend, std::optional<LoadReport> const&);

/// Observes an event other than the first of a stream from the engine `backend`. Does nothing unless the servers of its
/// service report their slowness, like the next function.
void observe_event_gap(ServingContext&, Backend& backend, Overload::EventGaps&, Duration gap);
/// Observes the time from a dispatch to the first event, for a prompt that the engine `backend` read alone.
void observe_prompt_time(ServingContext&, Backend& backend, TokenCount prompt, Duration time);

/// Applies what other hosts have observed of the speeds of engines.
void apply_server_paces(ServingContext&, wire::HostUse const&);
/// Adds the speeds of engines that have not been sent yet to a message. They count as sent from then on.
void put_unsent_server_paces(wire::HostUse&, ServingContext&, Overload::PaceScope);
/// Adds the speeds of engines that have become known lately to a full state message.
void put_recent_server_paces(wire::HostUse&, ServingContext const&, Overload::PaceScope);
/// Adds all speeds that this host has observed, for a host that has just started.
void put_all_server_paces(wire::HostUse&, ServingContext const&);
/// Drops what is known of engines that have been removed.
void drop_removed_server_paces(ServingContext&);

}
