/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <vector>

namespace Serving {

/// Splits `receivers` into at most `fan_out` parts of nearly the same size. The first of each part is sent a message,
/// and passes it on to the others of its part.
std::vector<std::vector<Address>> split_for_relays(std::vector<Address> const& receivers, size_t fan_out);

}
