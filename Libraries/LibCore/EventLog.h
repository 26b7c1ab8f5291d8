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
    /// The generation, change, engine or member the event is about.
    std::string subject;
    /// Set for events that belong to one organisation and may be shown to no other.
    OrganisationId organisation;
    std::string text;
};

/// The last events of this process, in memory, and the hybrid clock that stamps them. Thread safe. Each event also
/// goes to the log, with its number.
class EventLog {
public:
    static constexpr size_t default_capacity = 4096;

    explicit EventLog(MemberId member, size_t capacity = default_capacity);

    void record(EventNumber number, std::string subject, std::string text, OrganisationId organisation = {});
    /// Called after each event, on the thread that records it. Set it before other threads record.
    void on_record(std::function<void()> observer) { this->observer = std::move(observer); }
    /// The newest `maximum` events, oldest first; with a subject, only those about it.
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

/// "stamp member E1001 process_started subject text", the form of one line of a time line.
std::string format_event(Event const&);

}
