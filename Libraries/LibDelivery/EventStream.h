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

/// One event of a text/event-stream, whole, with the blank line that ends it.
struct StreamEvent {
    /// Empty when the event carries none that is a number.
    std::optional<u64> number;
    std::string text;
};

/// Cuts a stream of bytes into whole events. Bytes of an event that is never completed are never handed out.
class EventStreamReader {
public:
    /// An event larger than this, in bytes, is no event of a generation.
    static constexpr size_t max_event_bytes = 256 << 10;

    /// Takes the next bytes of the stream; answers the events that they complete, in order.
    std::vector<StreamEvent> feed(std::string_view bytes);
    [[nodiscard]] bool has_partial_event() const { return !this->pending.empty(); }
    [[nodiscard]] bool is_oversized() const { return this->pending.size() > max_event_bytes; }

private:
    std::string pending;
};

/// Lets each event of a generation through once and in order, whatever run it comes from.
class EventOrder {
public:
    enum class Verdict : u8 {
        Forward,
        /// The caller has it already.
        Drop,
        /// Events before it are missing.
        Gap,
    };

    Verdict check(StreamEvent const&);
    /// The number of the last event that was let through.
    [[nodiscard]] std::optional<u64> last() const { return this->last_number; }
    /// Events that were let through.
    [[nodiscard]] u64 count() const { return this->forwarded; }

private:
    std::optional<u64> last_number;
    u64 forwarded { 0 };
};

}
