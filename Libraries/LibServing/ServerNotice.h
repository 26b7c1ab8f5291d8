/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Dialect.h>
#include <LibServing/ServingContext.h>

namespace Serving {

/// Applies the notices in the response head of `backend`: a requested back-off, or that the server is leaving. This
/// does not depend on which request of this host the response belongs to. Of two notices in flight at the same time,
/// neither cancels the other.
void apply_server_notice(ServingContext&, Backend&, BackendResponseHead const&);

}
