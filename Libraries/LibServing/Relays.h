/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <vector>

namespace Serving {

/// Splits `receivers` into at most `fan_out` groups of nearly equal size. A message is sent to the first host of each
/// group, which forwards it to the rest of its group.
std::vector<std::vector<Address>> split_for_relays(std::vector<Address> const& receivers, size_t fan_out);

}
