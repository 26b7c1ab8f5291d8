/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Writes rows into `update`, packed. Does nothing when more than `max_bytes` would be left of them: the receivers
/// then read them from the platform.
void put_rows(wire::PlatformNews& update, std::vector<Platform::RowChange> const& changes, size_t max_bytes);

/// The rows in `update`; empty when it has none.
/// Errors: InvalidRequest when packed rows cannot be unpacked.
Result<std::vector<Platform::RowChange>> rows_of(wire::PlatformNews const& update);

}
