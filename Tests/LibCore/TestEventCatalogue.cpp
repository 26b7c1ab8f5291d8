/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/EventCatalogue.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

/// Returns the number and name of each row of the table in docs/EVENTS.md.
static std::map<u32, std::string> documented_events()
{
    std::ifstream file(std::string(LILAC_SOURCE_DIRECTORY) + "/docs/EVENTS.md");
    std::map<u32, std::string> events;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("| E"))
            continue;
        std::istringstream cells(line.substr(3));
        u32 number = 0;
        std::string bar;
        std::string name;
        cells >> number >> bar >> name;
        events[number] = name;
    }
    return events;
}

SCENARIO("the catalogue of events and its page agree")
{
    auto documented = documented_events();
    std::set<u32> seen;
    for (auto const& event : Core::event_catalogue()) {
        auto number = static_cast<u32>(event.number);
        INFO("E" << number << ' ' << event.name);
        CHECK(seen.insert(number).second);
        REQUIRE(documented.contains(number));
        CHECK(documented[number] == event.name);
    }
    CHECK(documented.size() == seen.size());
}
