/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Records that `backend` refused `request`, that is, responded that it did not run it. A backend server that refuses
/// requests runs few, so it looks less loaded than all others and would attract every host. It is therefore avoided for
/// a while, longer with each further refusal, and the refusal is announced to the other hosts. The report of a single
/// host is enough, since it repeats the backend server's own response. If all backend servers are avoided, they are
/// chosen as usual.
void record_refusal(ServingContext&, Backend&, std::string const& request, std::string_view reason);

/// Applies the refusals of backend servers that another host announces.
void apply_refusals(ServingContext&, wire::HostUse const&);

}
