/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string_view>

namespace Http {

/// How far a caller's connection is. Everything that may read from it, close it or hand a request on asks for the phase
/// when its turn comes, not when it was begun: another completion may have had its turn in between.
enum class ConnectionPhase : u8 {
    /// No byte of the next request has been read. Only here may this side close without an answer.
    BetweenRequests,
    ReadingHead,
    ReadingBody,
    /// A request has been read or refused, and its answer is not complete.
    Responding,
    Closed,
};

/// Why a caller's connection was closed.
enum class CloseReason : u8 {
    /// The answer is complete and said that the connection ends with it.
    ResponseSent,
    /// The caller has ended it.
    ClosedByCaller,
    /// Nothing came for `idle_timeout`.
    Idle,
    /// The process is stopping.
    PlannedStop,
    /// No further connection could be accepted.
    CapacityNeeded,
    /// Bytes for the caller could not be sent.
    WriteFailed,
    /// More bytes wait for the caller than may.
    TooManyPendingBytes,
    /// The request's own work ended it, so that its answer does not look complete.
    Aborted,
};

std::string_view to_string(ConnectionPhase);
std::string_view to_string(CloseReason);

/// A close, for whoever looks for a request that got no answer.
struct ConnectionClose {
    CloseReason reason;
    ConnectionPhase phase;
    /// Requests that had been taken from this connection.
    u64 requests_accepted;
    /// Since the phase began.
    Duration time_in_phase;
};

/// Whether a request has begun to arrive and is not answered to its end.
bool has_request(ConnectionPhase);

}
