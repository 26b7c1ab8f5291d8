/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibHttp/ConnectionPhase.h>

namespace Http {

std::string_view to_string(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::BetweenRequests:
        return "between_requests";
    case ConnectionPhase::ReadingHead:
        return "reading_head";
    case ConnectionPhase::ReadingBody:
        return "reading_body";
    case ConnectionPhase::Responding:
        return "answering";
    case ConnectionPhase::Discarding:
        return "discarding";
    case ConnectionPhase::Closed:
        return "closed";
    }
    VERIFY(false);
}

std::string_view to_string(CloseReason reason)
{
    switch (reason) {
    case CloseReason::ResponseSent:
        return "answered";
    case CloseReason::ClosedByCaller:
        return "ended_by_caller";
    case CloseReason::Idle:
        return "idle";
    case CloseReason::PlannedStop:
        return "planned_stop";
    case CloseReason::CapacityNeeded:
        return "room_needed";
    case CloseReason::Overloaded:
        return "overloaded";
    case CloseReason::WriteFailed:
        return "write_failed";
    case CloseReason::TooManyPendingBytes:
        return "too_much_waiting";
    case CloseReason::SlowestReader:
        return "slowest_reader";
    case CloseReason::Aborted:
        return "aborted";
    }
    VERIFY(false);
}

bool has_request(ConnectionPhase phase)
{
    return phase == ConnectionPhase::ReadingHead || phase == ConnectionPhase::ReadingBody
        || phase == ConnectionPhase::Responding;
}

}
