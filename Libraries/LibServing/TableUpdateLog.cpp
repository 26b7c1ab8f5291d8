/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateLog.h>
#include <algorithm>

namespace Serving {

void TableUpdateLog::add(wire::PlatformNews update)
{
    // The relay list is meant for the first receiver only.
    update.clear_relay_to();
    auto place = std::ranges::lower_bound(
        this->updates, update.version(), {}, [](wire::PlatformNews const& known) { return known.version(); });
    if (place != this->updates.end() && place->version() == update.version())
        return;
    this->updates.insert(place, std::move(update));
    if (this->updates.size() > max_kept)
        this->updates.pop_front();
}

std::vector<wire::PlatformNews> TableUpdateLog::since(u64 version) const
{
    std::vector<wire::PlatformNews> following;
    auto known = version;
    for (auto const& update : this->updates) {
        if (update.version() <= known)
            continue;
        if (update.previous_change() > known)
            return {};
        following.push_back(update);
        known = update.version();
    }
    return following;
}

}
