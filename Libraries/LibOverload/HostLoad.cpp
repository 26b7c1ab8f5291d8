/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/HostLoad.h>
#include <algorithm>

namespace Overload {

void HostLoad::record(Sample const& sample, Instant now)
{
    this->samples.push_back({ sample, now });
    // The first sample that is kept is the last one from before the window.
    while (this->samples.size() > standing_samples && now - this->samples[1].at >= rate_window)
        this->samples.pop_front();
}

double HostLoad::bytes_per_second() const
{
    if (this->samples.size() < 2)
        return 0;
    auto const& first = this->samples.front();
    auto const& last = this->samples.back();
    auto const received = last.sample.bytes_received - first.sample.bytes_received;
    auto const sent = last.sample.bytes_sent - first.sample.bytes_sent;
    auto const seconds = AK::to_seconds(std::max<Duration>(last.at - first.at, 1ms));
    return static_cast<double>(std::max(received, sent)) / seconds;
}

Duration HostLoad::standing_lateness() const
{
    if (this->samples.size() < standing_samples)
        return Duration(0);
    auto const begin = this->samples.end() - standing_samples;
    auto const least = std::min_element(
        begin, this->samples.end(), [](auto const& a, auto const& b) { return a.sample.lateness < b.sample.lateness; });
    return least->sample.lateness;
}

}
