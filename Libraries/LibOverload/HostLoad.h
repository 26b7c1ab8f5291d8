/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <deque>
#include <optional>

namespace Overload {

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

    // --- streams, each from its admission to its end

    void stream_admitted() { ++this->admitted_streams; }
    void stream_refused() { ++this->refused_streams; }
    /// The stream has received its first event.
    void stream_began() { ++this->flowing_streams; }
    /// `bytes`: size of an event on the link.
    void record_event(size_t bytes) { this->stream_bytes += bytes; }
    void stream_ended(bool has_begun);
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
    [[nodiscard]] size_t streams() const { return this->admitted_streams; }

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
    [[nodiscard]] bool refuses_too_many() const;
    [[nodiscard]] double stream_bytes_per_second() const;
    void update_rate_per_stream();

    double link_bytes_per_second;
    /// Until a latency goal is known, the longest.
    Duration lateness_limit { max_lateness_limit };
    std::deque<TimedSample> samples;
    size_t admitted_streams { 0 };
    size_t flowing_streams { 0 };
    u64 refused_streams { 0 };
    u64 stream_bytes { 0 };
    /// Bytes per second of one flowing stream; empty until some have flowed.
    std::optional<double> rate_per_stream;
    std::optional<Instant> overloaded_at;
    Instant next_overload_read_at {};
};

/// Counts one stream in the load of its host, from its admission to its end.
class StreamOnHost {
public:
    explicit StreamOnHost(HostLoad& host)
        : host(host)
    {
        this->host.stream_admitted();
    }
    StreamOnHost(StreamOnHost const&) = delete;
    StreamOnHost& operator=(StreamOnHost const&) = delete;
    ~StreamOnHost() { this->host.stream_ended(this->has_begun); }

    /// `bytes`: size of the event on the link.
    void record_event(size_t bytes)
    {
        if (!this->has_begun)
            this->host.stream_began();
        this->has_begun = true;
        this->host.record_event(bytes);
    }

private:
    HostLoad& host;
    bool has_begun { false };
};

}
