/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Clock.h>
#include <LibCore/StructuredLog.h>
#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace Core {

/// Maximum bytes of one write. Linux reports a pipe as writable when at least a page of it is free, so a write of one
/// page does not block.
static constexpr size_t safe_write_bytes = 4096;

StructuredLog::StructuredLog(Sink sink, double lines_per_second)
    : sink(std::move(sink))
    , lines_per_second(lines_per_second)
{
}

StructuredLog::Line::Line(StructuredLog* log, EventNumber number, std::string_view subject)
    : log(log)
{
    if (!log)
        return;
    auto const& description = describe(number);
    this->text = "ms=" + std::to_string(SystemClock().wall_milliseconds()) + " event=E"
        + std::to_string(static_cast<u32>(number)) + ' ';
    this->text += description.name;
    this->append_text("subject", subject);
}

StructuredLog::Line::Line(Line&& other) noexcept
    : log(std::exchange(other.log, nullptr))
    , text(std::move(other.text))
{
}

StructuredLog::Line::~Line()
{
    if (this->log)
        this->log->enqueue(std::move(this->text));
}

void StructuredLog::Line::append_text(std::string_view key, std::string_view value)
{
    this->text += ' ';
    this->text += key;
    this->text += '=';
    bool const needs_quotes = value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
    if (!needs_quotes) {
        this->text += value;
        return;
    }
    this->text += '"';
    for (char character : value) {
        bool const is_control = static_cast<unsigned char>(character) < ' ';
        if (character == '"' || character == '\\')
            this->text += '\\';
        this->text += is_control ? ' ' : character;
    }
    this->text += '"';
}

StructuredLog::Line StructuredLog::event(EventNumber number, std::string_view subject)
{
    bool const admitted = this->admit(SystemClock().now());
    return { admitted ? this : nullptr, number, subject };
}

bool StructuredLog::admit(Instant now)
{
    if (this->last_refill != Instant {}) {
        auto gained = AK::to_seconds(now - this->last_refill) * this->lines_per_second;
        this->allowance = std::min(burst_lines, this->allowance + gained);
    }
    this->last_refill = now;
    if (this->allowance < 1) {
        ++this->dropped_since_report;
        ++this->dropped_total;
        return false;
    }
    this->allowance -= 1;
    return true;
}

void StructuredLog::enqueue(std::string line)
{
    if (this->pending.size() + line.size() >= max_pending_bytes) {
        ++this->dropped_since_report;
        ++this->dropped_total;
        return;
    }
    this->pending += line;
    this->pending += '\n';
}

void StructuredLog::flush()
{
    if (this->dropped_since_report > 0 && this->allowance >= 1) {
        auto count = std::exchange(this->dropped_since_report, 0);
        this->event(EventNumber::LogLinesDropped, "log").with("lines", count);
    }
    while (!this->pending.empty()) {
        auto written = this->sink(this->pending);
        if (written == 0)
            return;
        this->pending.erase(0, written);
    }
}

size_t write_to_standard_output(std::string_view text)
{
    pollfd writable { STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0)
        return 0;
    auto written = ::write(STDOUT_FILENO, text.data(), std::min(text.size(), safe_write_bytes));
    return written > 0 ? static_cast<size_t>(written) : 0;
}

}
