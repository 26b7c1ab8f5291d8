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

/// Writes rows into `update`, compressed. Does nothing if they exceed `max_bytes` when compressed: the receivers then
/// read them from the platform.
void put_rows(wire::PlatformNews& update, std::vector<Platform::RowChange> const& changes, size_t max_bytes);

/// Returns the rows in `update`; empty if it has none.
/// Errors: InvalidRequest if the rows cannot be decompressed or parsed.
Result<std::vector<Platform::RowChange>> rows_of(wire::PlatformNews const& update);

}
