/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/EventStream.h>
#include <charconv>

namespace Delivery {

/// The field with the number of an event (WHATWG HTML, section 9.2, server-sent events).
static constexpr std::string_view number_field = "id:";

static std::optional<u64> number_of(std::string_view event)
{
    size_t position = 0;
    while (position < event.size()) {
        auto end = event.find('\n', position);
        auto line = event.substr(position, end - position);
        position = end == std::string_view::npos ? event.size() : end + 1;
        if (!line.starts_with(number_field))
            continue;
        line.remove_prefix(number_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        u64 number = 0;
        auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc {})
            return number;
    }
    return {};
}

/// Returns the position after the blank line that ends the first event in `bytes`, or npos if the event is incomplete.
static size_t end_of_event(std::string_view bytes)
{
    auto plain = bytes.find("\n\n");
    auto with_returns = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_returns == std::string_view::npos)
        return std::string_view::npos;
    return plain < with_returns ? plain + 2 : with_returns + 4;
}

std::vector<StreamEvent> EventStreamReader::feed(std::string_view bytes)
{
    this->pending += bytes;
    std::vector<StreamEvent> events;
    size_t begin = 0;
    while (true) {
        auto rest = std::string_view(this->pending).substr(begin);
        auto length = end_of_event(rest);
        if (length == std::string_view::npos)
            break;
        events.push_back({ number_of(rest.substr(0, length)), std::string(rest.substr(0, length)) });
        begin += length;
    }
    this->pending.erase(0, begin);
    return events;
}

EventOrder::Verdict EventOrder::check(StreamEvent const& event)
{
    if (event.number) {
        if (this->last_number && *event.number <= *this->last_number)
            return Verdict::Drop;
        if (this->last_number && *event.number != *this->last_number + 1)
            return Verdict::Gap;
        this->last_number = event.number;
    }
    ++this->forwarded;
    return Verdict::Forward;
}

}
