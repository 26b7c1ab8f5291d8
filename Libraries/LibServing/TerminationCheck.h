/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>

namespace Serving {

/// Determines after a broken connection whether the process of `backend` has terminated. A partition that refuses
/// connections looks the same at a single server. So after a refused connection a few other servers are tried as well,
/// and the process counts as terminated only if one of them accepts a connection, or if no other is known. Calls back
/// once, never before this returns.
void check_termination(ServingContext&, BackendPointer const& backend, ProcessCheck::OnState);

}
