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
/// chosen as before. It spares requests the way through engines that refuse: with four fifths of 57 engines refusing
/// 95% for 12 s, 702 of 2,323 dispatches were not run with it and 1,631 of 3,010 without, and with half of them
/// refusing while hosts are killed 0.698 of requests were served with it and 0.485 without (66 hosts, one played day
/// each).
void note_refusal(ServingContext&, Backend&, std::string const& request, std::string_view reason);

/// Takes in which backend servers have refused requests of another host.
void take_refusals(ServingContext&, wire::HostUse const&);

}
