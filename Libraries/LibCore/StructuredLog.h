/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <LibCore/EventCatalogue.h>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace Core {

/// Structured lines for whoever has to explain a failure later: one line an event, as key=value pairs, to standard
/// output. The volume is bounded by a rate, and a reader that stalls costs lines instead of time; what was dropped is
/// counted in the log itself. Loop thread only.
class StructuredLog {
public:
    /// Takes the bytes that it can without waiting and returns their number, like write(2).
    using Sink = std::function<size_t(std::string_view)>;

    /// Lines a second in the long run, from 4 lines a request at twice a host's share of the peak (about 6 requests/s),
    /// with room for a client that repeats without pause.
    static constexpr double default_lines_per_second = 200;
    /// Lines that may come at once: five seconds' worth.
    static constexpr double burst_lines = 1000;
    /// Bytes that may wait for a stalled reader.
    static constexpr size_t max_pending_bytes = 256 << 10;

    explicit StructuredLog(Sink sink, double lines_per_second = default_lines_per_second);

    /// One line under way; it is written when this goes out of scope.
    class Line {
    public:
        Line(StructuredLog* log, EventNumber number, std::string_view subject);
        Line(Line&& other) noexcept;
        Line(Line const&) = delete;
        ~Line();

        template<typename Value>
        Line&& with(std::string_view key, Value const& value) &&
        {
            if (this->log)
                this->append(key, value);
            return std::move(*this);
        }

    private:
        template<typename Value>
        void append(std::string_view key, Value const& value)
        {
            if constexpr (std::is_convertible_v<Value, std::string_view>)
                this->append_text(key, value);
            else if constexpr (std::is_same_v<Value, Duration>)
                this->append_text(key, std::to_string(AK::to_milliseconds(value)));
            else if constexpr (std::is_arithmetic_v<Value>)
                this->append_text(key, std::to_string(value));
            else if constexpr (std::is_convertible_v<typename Value::ValueType, std::string_view>)
                this->append_text(key, value.value());
            else
                this->append_text(key, std::to_string(value.value()));
        }
        void append_text(std::string_view key, std::string_view value);

        StructuredLog* log;
        std::string text;
    };

    /// Begins a line about `subject`, which is a request, a backend server or a revision.
    Line event(EventNumber number, std::string_view subject);
    /// Hands waiting lines to the sink. Call it on a short timer and before the process ends.
    void flush();
    /// Lines dropped since the start, by the rate or for want of a reader.
    [[nodiscard]] u64 dropped_lines() const { return this->dropped_total; }

private:
    bool admit(Instant now);
    void take(std::string line);

    Sink sink;
    double lines_per_second;
    double allowance { burst_lines };
    Instant last_refill {};
    std::string waiting;
    u64 dropped_since_report { 0 };
    u64 dropped_total { 0 };
};

/// Writes to standard output without ever waiting for its reader.
size_t write_to_standard_output(std::string_view);

}
