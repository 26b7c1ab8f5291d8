/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibCore/EventCatalogue.h>
#include <LibCore/HybridClock.h>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Core {

struct Event {
    HybridStamp stamp;
    MemberId member;
    EventNumber number;
    /// Id of the generation, change, engine or member that the event concerns.
    std::string subject;
    /// Set for events that only this organisation may see.
    OrganisationId organisation;
    std::string text;
};

/// A bounded in-memory buffer of this process's latest events, with the hybrid clock that timestamps them. Each event
/// is also written to the log with its number. Thread safe.
class EventLog {
public:
    static constexpr size_t default_capacity = 4096;

    explicit EventLog(MemberId member, size_t capacity = default_capacity);

    void record(EventNumber number, std::string subject, std::string text, OrganisationId organisation = {});
    /// Sets a function that is called after each event, on the recording thread. Must be set before other threads
    /// record.
    void on_record(std::function<void()> observer) { this->observer = std::move(observer); }
    /// Returns the newest `maximum` events, oldest first; if `subject` is not empty, only the events about it.
    [[nodiscard]] std::vector<Event> latest(size_t maximum, std::string const& subject = {}) const;
    [[nodiscard]] HybridStamp stamp_outgoing();
    void observe(HybridStamp received);
    [[nodiscard]] MemberId const& member_id() const { return this->member; }

private:
    MemberId member;
    size_t capacity;
    mutable std::mutex mutex;
    HybridClock clock;
    std::deque<Event> events;
    std::function<void()> observer;
};

/// Formats an event as one line of a timeline: "stamp member E1001 process_started subject text".
std::string format_event(Event const&);

}
