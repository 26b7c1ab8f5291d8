/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/RunEnd.h>

namespace Serving {

std::string_view to_string(RunEndGround ground)
{
    switch (ground) {
    case RunEndGround::Stopped:
        return "stopped";
    case RunEndGround::NotFound:
        return "not_found";
    case RunEndGround::ClosedAfterOrder:
        return "closed_after_order";
    case RunEndGround::ProcessTerminated:
        return "process_terminated";
    case RunEndGround::OutOfReach:
        return "out_of_reach";
    }
    VERIFY(false);
}

std::optional<RunEndProof> RunEndProof::from_response(StopResponse const& response, SourceStream stream)
{
    bool const has_broken_off = stream != SourceStream::Open;
    switch (response.status) {
    case Http::Status::ok:
        if (response.names_copy)
            return RunEndProof(RunEndGround::Stopped);
        return {};
    case Http::Status::not_found:
        // While the stream is open, its rest may be in transit.
        if (has_broken_off)
            return RunEndProof(RunEndGround::NotFound);
        return {};
    case Http::Status::service_unavailable:
        // The run has stopped, and the target had no room for the rest of its memory.
        if (response.names_copy && has_broken_off)
            return RunEndProof(RunEndGround::Stopped);
        return {};
    case Http::Status::misdirected_request:
        return RunEndProof(RunEndGround::ProcessTerminated);
    default:
        return {};
    }
}

std::optional<RunEndProof> RunEndProof::from_stream(SourceStream stream, u32 orders)
{
    if (stream != SourceStream::BrokeOffAfterOrder || orders < min_orders_after_close)
        return {};
    return RunEndProof(RunEndGround::ClosedAfterOrder);
}

std::optional<RunEndProof> RunEndProof::from_process(ProcessState state, u32 failed_connects)
{
    if (state == ProcessState::Terminated)
        return RunEndProof(RunEndGround::ProcessTerminated);
    if (state == ProcessState::Unknown && failed_connects >= min_failed_connects)
        return RunEndProof(RunEndGround::OutOfReach);
    return {};
}

}
