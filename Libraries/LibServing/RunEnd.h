/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <LibServing/ProcessCheck.h>
#include <optional>
#include <string_view>

namespace Serving {

/// Why it is certain that the run of a generation at its engine is over.
enum class RunEndGround : u8 {
    /// The engine reports that it has carried out the order to stop the run.
    Stopped,
    /// The engine reports that it runs no such generation, and the stream has ended.
    NotFound,
    /// The engine ended the stream early while the order to stop the run was open.
    ClosedAfterOrder,
    /// The process of the engine has terminated.
    ProcessTerminated,
    /// The stream has broken off, and this host can't reach the engine any more. Its run may last a little longer,
    /// which
    /// nobody can prevent from here.
    OutOfReach,
};

std::string_view to_string(RunEndGround);

/// The response of an engine to the order to stop a run and to copy the rest of its memory.
struct StopResponse {
    Http::Status status { Http::Status::unknown };
    /// It names the copy.
    bool names_copy { false };
};

/// What this host has seen of the stream of a run that it wants to continue at another engine.
enum class SourceStream : u8 {
    Open,
    /// It broke off before an order to stop the run was sent.
    BrokeOff,
    /// It broke off after such an order had been sent.
    BrokeOffAfterOrder,
};

/// The certainty that a run is over, so that it may continue at another engine. It is made only from what the engine
/// reports or from the end of its process. A stream that has broken off is none: not all engines drop a request whose
/// connection closes.
class RunEndProof {
public:
    /// Of a complete response to the order.
    [[nodiscard]] static std::optional<RunEndProof> from_response(StopResponse const&, SourceStream);
    /// Of orders that brought no such response, `orders` in number.
    [[nodiscard]] static std::optional<RunEndProof> from_stream(SourceStream, u32 orders);
    /// Of the state of the engine's process, which was checked after the stream had broken off. `failed_connects`:
    /// number of successive orders for which no connection could be made.
    [[nodiscard]] static std::optional<RunEndProof> from_process(ProcessState, u32 failed_connects);

    [[nodiscard]] RunEndGround ground() const { return this->reason; }

    /// A stream that an engine cuts by accident in the same moment as it fails an order does not count.
    static constexpr u32 min_orders_after_close = 3;

private:
    /// A single packet may be lost.
    static constexpr u32 min_failed_connects = 3;

    explicit RunEndProof(RunEndGround ground)
        : reason(ground)
    {
    }

    RunEndGround reason;
};

}
