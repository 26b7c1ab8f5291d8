/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateLog.h>
#include <algorithm>

namespace Serving {

void TableUpdateLog::add(wire::PlatformNews news)
{
    // Who is to pass it on is for its first receiver only.
    news.clear_relay_to();
    auto place = std::ranges::lower_bound(
        this->kept, news.version(), {}, [](wire::PlatformNews const& known) { return known.version(); });
    if (place != this->kept.end() && place->version() == news.version())
        return;
    this->kept.insert(place, std::move(news));
    if (this->kept.size() > max_kept)
        this->kept.pop_front();
}

std::vector<wire::PlatformNews> TableUpdateLog::since(u64 version) const
{
    std::vector<wire::PlatformNews> following;
    auto known = version;
    for (auto const& news : this->kept) {
        if (news.version() <= known)
            continue;
        if (news.previous_change() > known)
            return {};
        following.push_back(news);
        known = news.version();
    }
    return following;
}

}
