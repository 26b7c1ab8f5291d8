/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibWire/Messages.h>
#include <iomanip>
#include <sstream>
#include <string>

/// Formats an event as one line of a timeline.
inline std::string format_record(wire::EventRecord const& event)
{
    std::ostringstream line;
    line << event.wall_milliseconds() << '.' << std::setw(4) << std::setfill('0') << event.counter() << ' '
         << std::setw(14) << std::setfill(' ') << std::left << event.member() << " E" << event.number() << ' '
         << std::setw(24) << Core::describe(static_cast<Core::EventNumber>(event.number())).name << ' '
         << event.subject() << ' ' << event.text();
    return line.str();
}
