/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Relays.h>
#include <algorithm>

namespace Serving {

std::vector<std::vector<Address>> split_for_relays(std::vector<Address> const& receivers, size_t fan_out)
{
    std::vector<std::vector<Address>> groups(std::min(receivers.size(), fan_out));
    for (size_t i = 0; i < receivers.size(); ++i)
        groups[i % groups.size()].push_back(receivers[i]);
    return groups;
}

}
