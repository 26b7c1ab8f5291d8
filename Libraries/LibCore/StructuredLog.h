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

/// Writes one line of key=value pairs per event, for the analysis of failures. The rate of lines is limited, and a
/// stalled reader causes dropped lines instead of delays; the log itself reports the number of dropped lines. Only for
/// the event loop thread.
class StructuredLog {
public:
    /// Writes as many bytes as it can without blocking and returns their number, like write(2).
    using Sink = std::function<size_t(std::string_view)>;

    /// Sustained rate in lines per second. A host's share of the peak is about 6 requests/s; at 4 lines per request,
    /// the rate covers twice that share and leaves headroom for a client that retries without delay.
    static constexpr double default_lines_per_second = 200;
    /// Lines that may be written in a burst: five seconds at the default rate.
    static constexpr double burst_lines = 1000;
    /// Limit of the bytes that are buffered while the reader stalls.
    static constexpr size_t max_pending_bytes = 256 << 10;

    explicit StructuredLog(Sink sink, double lines_per_second = default_lines_per_second);

    /// A line under construction. The destructor passes it to the log.
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

    /// Starts a line about `subject`, which is the id of a request, a backend server or a revision.
    Line event(EventNumber number, std::string_view subject);
    /// Passes buffered lines to the sink. To be called on a short timer and before the process ends.
    void flush();
    /// Lines dropped since the start because of the rate limit or a stalled reader.
    [[nodiscard]] u64 dropped_lines() const { return this->dropped_total; }

private:
    bool admit(Instant now);
    void enqueue(std::string line);

    Sink sink;
    double lines_per_second;
    double allowance { burst_lines };
    Instant last_refill {};
    std::string pending;
    u64 dropped_since_report { 0 };
    u64 dropped_total { 0 };
};

/// Writes to standard output without blocking. Returns the number of bytes written.
size_t write_to_standard_output(std::string_view);

}
