/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace Overload {

/// The streams of a host, and the bytes of their events on the link.
struct StreamCounts {
    size_t admitted { 0 };
    /// Those that have received an event.
    size_t flowing { 0 };
    u64 bytes { 0 };
};

/// Measures the load of this host itself: how late its event loop runs, and how much of its link is in use. From that
/// it decides whether the host can serve another stream, and whether it should read requests of new callers at all. A
/// caller whose connection is closed before its request is read can send it to another host immediately.
class HostLoad {
public:
    /// What was measured at one tick of the event loop.
    struct Sample {
        /// How late the tick ran. Everything else that was due on the event loop was as late.
        Duration lateness { 0 };
        /// Totals since the start of the process.
        u64 bytes_received { 0 };
        u64 bytes_sent { 0 };
        u64 requests_read { 0 };
    };

    /// `link_bytes_per_second`: bandwidth of the host's link in each direction; 0 if unknown.
    explicit HostLoad(double link_bytes_per_second)
        : link_bytes_per_second(link_bytes_per_second)
    {
    }

    /// `goal`: the shortest latency goal of any request.
    void set_latency_goal(Duration goal);
    void record(Sample const&, Instant now);

    // --- streams

    /// Counts the streams that were admitted; see StreamOnHost.
    [[nodiscard]] std::shared_ptr<StreamCounts> const& streams() const { return this->stream_counts; }
    void record_refused_stream() { ++this->refused_streams; }
    /// Whether the link can carry another stream beside those that were admitted, at the rate of those that flow now.
    [[nodiscard]] bool has_link_for_stream() const;

    // --- the state of the host

    /// Whether most of what is read now would be served late, or not at all.
    [[nodiscard]] bool is_overloaded() const;
    /// Whether the first request on a new connection should be read. While the host is overloaded, few are, so that
    /// callers who can reach no other host are served in the end.
    [[nodiscard]] bool may_read_new_connection(Instant now);
    /// Whether connections that this host opens may take long because of its own load, so that a timeout is no evidence
    /// against the server.
    [[nodiscard]] bool delays_connections(Instant now) const;

    /// Bytes per second over the last half second, in the direction that carries more.
    [[nodiscard]] double bytes_per_second() const;
    /// Used part of the link; 0 if its bandwidth is unknown.
    [[nodiscard]] double link_use() const;
    /// The lateness that the event loop has had throughout the last samples. A single stall doesn't count.
    [[nodiscard]] Duration standing_lateness() const;

private:
    static constexpr Duration max_lateness_limit = 100ms;

    struct TimedSample {
        Sample sample;
        u64 refused_streams { 0 };
        u64 stream_bytes { 0 };
        /// Total time for which streams have flowed.
        double stream_seconds { 0 };
        Instant at {};
    };
    /// Whether everything on this host is delayed.
    [[nodiscard]] bool is_slow() const;
    [[nodiscard]] bool refuses_too_many() const;
    [[nodiscard]] double stream_bytes_per_second() const;
    void update_rate_per_stream();

    double link_bytes_per_second;
    /// Until a latency goal is known, the longest.
    Duration lateness_limit { max_lateness_limit };
    std::deque<TimedSample> samples;
    std::shared_ptr<StreamCounts> stream_counts { std::make_shared<StreamCounts>() };
    u64 refused_streams { 0 };
    /// Bytes per second of one flowing stream; empty until some have flowed.
    std::optional<double> rate_per_stream;
    std::optional<Instant> slow_at;
    Instant next_overload_read_at {};
};

/// Counts one stream in the load of its host, from its admission to its end.
class StreamOnHost {
public:
    explicit StreamOnHost(HostLoad const& host)
        : counts(host.streams())
    {
        ++this->counts->admitted;
    }
    StreamOnHost(StreamOnHost const&) = delete;
    StreamOnHost& operator=(StreamOnHost const&) = delete;
    ~StreamOnHost()
    {
        --this->counts->admitted;
        this->counts->flowing -= this->has_begun ? 1 : 0;
    }

    /// `bytes`: size of the event on the link.
    void record_event(size_t bytes)
    {
        if (!std::exchange(this->has_begun, true))
            ++this->counts->flowing;
        this->counts->bytes += bytes;
    }

private:
    /// Shared, since a stream may end after its host.
    std::shared_ptr<StreamCounts> counts;
    bool has_begun { false };
};

}
