/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string_view>

namespace Http {

/// State of a caller's connection. Completion handlers that read from it, close it or forward a request check the phase
/// when they run, not when they were started: another handler may have run in between.
enum class ConnectionPhase : u8 {
    /// No byte of the next request has been read. Only in this phase may this side close without a response.
    BetweenRequests,
    ReadingHead,
    ReadingBody,
    /// A request has been read or rejected, and its response is not complete.
    Responding,
    /// A request was rejected while its caller was still sending. The response is complete; what the caller sends until
    /// it has read the response is discarded.
    Discarding,
    Closed,
};

/// Why a caller's connection was closed.
enum class CloseReason : u8 {
    /// The response is complete and announced that the connection would be closed after it.
    ResponseSent,
    /// The caller closed the connection.
    ClosedByCaller,
    /// Nothing was received for `idle_timeout`.
    Idle,
    /// The process is stopping.
    PlannedStop,
    /// File descriptors ran out, so that no further connection could be accepted.
    CapacityNeeded,
    /// This host is overloaded. No byte of a request was read, so that the caller may send it to another host.
    Overloaded,
    /// Writing to the caller failed.
    WriteFailed,
    /// More unsent bytes were queued for the caller than the limit allows.
    TooManyPendingBytes,
    /// All callers together had more unsent bytes than the host's memory allows, and this one was the slowest reader.
    SlowestReader,
    /// The handler of the request aborted it, so that the response does not look complete.
    Aborted,
};

std::string_view to_string(ConnectionPhase);
std::string_view to_string(CloseReason);

/// Details of a close, logged to trace requests that got no response.
struct ConnectionClose {
    CloseReason reason;
    ConnectionPhase phase;
    /// Number of requests that were accepted on this connection.
    u64 requests_accepted;
    /// The time since the phase began.
    Duration time_in_phase;
};

/// Whether a request has begun to arrive and its response is not complete.
bool has_request(ConnectionPhase);

}
