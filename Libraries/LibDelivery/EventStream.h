/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Delivery {

/// One complete event of a text/event-stream, including the blank line at its end.
struct StreamEvent {
    /// Empty if the event has no numeric id.
    std::optional<u64> number;
    std::string text;
};

/// Splits a byte stream into complete events. Does not return any byte of an incomplete event.
class EventStreamReader {
public:
    /// Upper bound on the size of an event of a generation.
    static constexpr size_t max_event_bytes = 256 << 10;

    /// Processes the next bytes of the stream and returns the events that they complete, in order.
    std::vector<StreamEvent> feed(std::string_view bytes);
    [[nodiscard]] bool has_partial_event() const { return !this->pending.empty(); }
    [[nodiscard]] bool is_oversized() const { return this->pending.size() > max_event_bytes; }

private:
    std::string pending;
};

/// Lets each event of a generation pass once and in order, even if several runs of the generation emit events.
class EventOrder {
public:
    enum class Verdict : u8 {
        Forward,
        /// A duplicate that the caller already has.
        Drop,
        /// Earlier events are missing.
        Gap,
    };

    Verdict check(StreamEvent const&);
    /// Returns the number of the last forwarded event.
    [[nodiscard]] std::optional<u64> last() const { return this->last_number; }
    /// Returns the count of forwarded events.
    [[nodiscard]] u64 count() const { return this->forwarded; }

private:
    std::optional<u64> last_number;
    u64 forwarded { 0 };
};

}
