/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// `backend` has answered `request` that it did not run it. It runs little, so that it looks emptier than all others
/// and would draw every host: it is avoided for a while, longer with each refusal that follows another, and the other
/// hosts are told. The word of one is believed, since it is the backend server's own. Where all are avoided they are
/// chosen as before.
void record_refusal(ServingContext&, Backend&, std::string const& request, std::string_view reason);

/// Takes in which backend servers have refused requests of another host.
void apply_refusals(ServingContext&, wire::HostUse const&);

}
