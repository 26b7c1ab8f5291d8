/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <algorithm>
#include <glog/logging.h>
#include <iomanip>
#include <sstream>

namespace Core {

EventLog::EventLog(MemberId member, size_t capacity)
    : member(std::move(member))
    , capacity(capacity)
{
}

static void write_to_log(Event const& event)
{
    auto line = format_event(event);
    switch (describe(event.number).severity) {
    case Severity::Information:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

void EventLog::record(EventNumber number, std::string subject, std::string text, OrganisationId organisation)
{
    {
        std::lock_guard lock(this->mutex);
        auto stamp = this->clock.tick(SystemClock().wall_milliseconds());
        if (this->events.size() == this->capacity)
            this->events.pop_front();
        this->events.push_back(
            { stamp, this->member, number, std::move(subject), std::move(organisation), std::move(text) });
        write_to_log(this->events.back());
    }
    if (this->observer)
        this->observer();
}

std::vector<Event> EventLog::latest(size_t maximum, std::string const& subject) const
{
    std::lock_guard lock(this->mutex);
    std::vector<Event> found;
    for (auto event = this->events.rbegin(); event != this->events.rend() && found.size() < maximum; ++event) {
        if (subject.empty() || event->subject == subject)
            found.push_back(*event);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

HybridStamp EventLog::stamp_outgoing()
{
    std::lock_guard lock(this->mutex);
    return this->clock.tick(SystemClock().wall_milliseconds());
}

void EventLog::observe(HybridStamp received)
{
    std::lock_guard lock(this->mutex);
    this->clock.observe(received, SystemClock().wall_milliseconds());
}

std::string format_event(Event const& event)
{
    std::ostringstream line;
    line << event.stamp.wall_milliseconds << '.' << std::setw(4) << std::setfill('0') << event.stamp.counter << ' '
         << event.member << " E" << static_cast<u32>(event.number) << ' ' << describe(event.number).name << ' '
         << (event.subject.empty() ? "-" : event.subject) << ' ' << event.text;
    return line.str();
}

}
