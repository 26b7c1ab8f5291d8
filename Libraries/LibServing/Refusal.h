/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that `backend` rejected `request` without running it. A backend server that rejects requests runs few, so it
/// looks less loaded than all others and would attract every host. It is therefore avoided for a while, longer with
/// each further rejection, and the other hosts are notified. The report of a single host is enough, since it repeats
/// what the backend server itself said. If all backend servers are avoided, they are chosen as usual.
void record_refusal(ServingContext&, Backend&, std::string const& request, std::string_view reason);

/// Applies the rejections by backend servers that another host announces.
void apply_refusals(ServingContext&, wire::HostUse const&);

}
