/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/HostLoad.h>
#include <algorithm>

namespace Overload {

/// Covers several responses, and several events of each stream.
static constexpr Duration rate_window = 500ms;
/// Samples in a row that have to be late.
static constexpr size_t standing_samples = 3;
/// A request waits for the event loop until it is accepted, read, dispatched and answered, so that it is late by
/// the whole goal and more.
static constexpr int lateness_limits_per_goal = 2;
/// Shorter lateness does not matter to any caller.
static constexpr Duration min_lateness_limit = 20ms;
/// Part of the link that streams may fill together with everything else. The rest absorbs bursts: of calls, and of
/// events that engines send faster when they have less to do.
static constexpr double max_use_with_streams = 0.7;
/// Above this, packets wait in the queue of the link.
static constexpr double max_link_use = 0.8;
/// Of the requests that a host reads, callers need three quarters to be served. If more than this part is refused
/// for the link, the host reads fewer.
static constexpr double max_refused_part = 0.2;
/// While the host is overloaded, one new connection is read in this time.
static constexpr Duration overload_read_period = 500ms;
/// Connecting to a server is given up after less than this.
static constexpr Duration connect_window = 500ms;
/// Time of flow by which the rate of a stream is known.
static constexpr double min_stream_seconds = 0.5;

void HostLoad::set_latency_goal(Duration goal)
{
    this->lateness_limit
        = std::clamp<Duration>(goal / lateness_limits_per_goal, min_lateness_limit, max_lateness_limit);
}

void HostLoad::record(Sample const& sample, Instant now)
{
    double stream_seconds = 0;
    if (!this->samples.empty()) {
        auto const& last = this->samples.back();
        stream_seconds
            = last.stream_seconds + static_cast<double>(this->stream_counts->flowing) * AK::to_seconds(now - last.at);
    }
    this->samples.push_back({ sample, this->refused_streams, this->stream_counts->bytes, stream_seconds, now });
    // The first sample that is kept is the last one from before the window.
    while (this->samples.size() > standing_samples && now - this->samples[1].at >= rate_window)
        this->samples.pop_front();
    this->update_rate_per_stream();
    if (this->is_slow())
        this->slow_at = now;
}

void HostLoad::update_rate_per_stream()
{
    auto const& first = this->samples.front();
    auto const& last = this->samples.back();
    auto const seconds = last.stream_seconds - first.stream_seconds;
    if (seconds >= min_stream_seconds)
        this->rate_per_stream = static_cast<double>(last.stream_bytes - first.stream_bytes) / seconds;
}

static double seconds_between(Instant first, Instant last)
{
    return AK::to_seconds(std::max<Duration>(last - first, 1ms));
}

double HostLoad::bytes_per_second() const
{
    if (this->samples.size() < 2)
        return 0;
    auto const& first = this->samples.front();
    auto const& last = this->samples.back();
    auto const received = last.sample.bytes_received - first.sample.bytes_received;
    auto const sent = last.sample.bytes_sent - first.sample.bytes_sent;
    return static_cast<double>(std::max(received, sent)) / seconds_between(first.at, last.at);
}

double HostLoad::stream_bytes_per_second() const
{
    if (this->samples.size() < 2)
        return 0;
    auto const& first = this->samples.front();
    auto const& last = this->samples.back();
    return static_cast<double>(last.stream_bytes - first.stream_bytes) / seconds_between(first.at, last.at);
}

double HostLoad::link_use() const
{
    return this->link_bytes_per_second > 0 ? this->bytes_per_second() / this->link_bytes_per_second : 0;
}

bool HostLoad::has_link_for_stream() const
{
    if (this->link_bytes_per_second <= 0 || !this->rate_per_stream)
        return true;
    auto const other_bytes = std::max(0.0, this->bytes_per_second() - this->stream_bytes_per_second());
    auto const expected = other_bytes + static_cast<double>(this->stream_counts->admitted + 1) * *this->rate_per_stream;
    return expected <= max_use_with_streams * this->link_bytes_per_second;
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

bool HostLoad::refuses_too_many() const
{
    if (this->samples.size() < 2)
        return false;
    auto const& first = this->samples.front();
    auto const& last = this->samples.back();
    auto const refused = last.refused_streams - first.refused_streams;
    auto const read = last.sample.requests_read - first.sample.requests_read;
    return refused > 1 && static_cast<double>(refused) > max_refused_part * static_cast<double>(read);
}

bool HostLoad::is_slow() const
{
    return this->standing_lateness() >= this->lateness_limit || this->link_use() >= max_link_use;
}

bool HostLoad::is_overloaded() const { return this->is_slow() || this->refuses_too_many(); }

bool HostLoad::may_read_new_connection(Instant now)
{
    if (!this->is_overloaded())
        return true;
    if (now < this->next_overload_read_at)
        return false;
    this->next_overload_read_at = now + overload_read_period;
    return true;
}

bool HostLoad::delays_connections(Instant now) const { return this->slow_at && now - *this->slow_at < connect_window; }

}
