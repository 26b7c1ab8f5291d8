/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/RepeatAccount.h>
#include <algorithm>

namespace Account {

using Core::EventNumber;

/// Returns the number of timestamps in `[from, to)`. Negative bounds count as zero.
static u32 count_between(std::vector<u64> const& timestamps, i64 from, i64 to)
{
    auto position = [&](i64 timestamp) {
        return std::ranges::lower_bound(timestamps, static_cast<u64>(std::max<i64>(0, timestamp)));
    };
    return static_cast<u32>(position(to) - position(from));
}

static RepeatWindow window_from(
    u64 from, std::vector<u64> const& requests, std::vector<u64> const& repeats, RepeatBound const& bound)
{
    auto const begin = static_cast<i64>(from);
    auto const length = static_cast<i64>(bound.window_milliseconds);
    RepeatWindow window { from, count_between(repeats, begin, begin + length), 0, 0 };
    for (auto earlier : { i64(0), length / 2, length })
        window.requests = std::max(window.requests, count_between(requests, begin - earlier, begin - earlier + length));
    window.allowed = bound.ratio * window.requests + bound.allowance;
    return window;
}

std::optional<RepeatWindow> worst_window(
    std::vector<u64> const& requests, std::vector<u64> const& repeats, RepeatBound const& bound)
{
    std::optional<RepeatWindow> worst;
    auto consider = [&](i64 from) {
        auto window = window_from(static_cast<u64>(std::max<i64>(0, from)), requests, repeats, bound);
        if (!worst || window.excess() > worst->excess())
            worst = window;
    };
    // The worst window begins or ends with a repeat, so only the two such windows of each repeat are checked.
    for (auto repeat : repeats) {
        consider(static_cast<i64>(repeat));
        consider(static_cast<i64>(repeat + 1) - static_cast<i64>(bound.window_milliseconds));
    }
    return worst;
}

void RepeatAccount::add(LogLine const& line)
{
    auto const service = line.text("service");
    if (service.empty())
        return;
    if (line.event == EventNumber::RequestReceived)
        this->by_name[service].requests.push_back(line.milliseconds);
    if (line.event != EventNumber::RepeatDecided)
        return;
    if (line.number("granted") == 1)
        this->by_name[service].repeats.push_back(line.milliseconds);
    else
        ++this->by_name[service].withheld;
}

std::map<std::string, RepeatAccount::Service> RepeatAccount::services() const
{
    auto sorted = this->by_name;
    for (auto& [name, service] : sorted) {
        std::ranges::sort(service.requests);
        std::ranges::sort(service.repeats);
    }
    return sorted;
}

}
