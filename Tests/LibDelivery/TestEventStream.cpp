/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/EventStream.h>
#include <rapidcheck/catch.h>

using Delivery::EventOrder;
using Delivery::EventStreamReader;
using Verdict = EventOrder::Verdict;

static std::string event(u64 number) { return "id: " + std::to_string(number) + "\ndata: word\n\n"; }

SCENARIO("a byte stream is split into complete events")
{
    EventStreamReader reader;
    GIVEN("an event in two pieces")
    {
        CHECK(reader.feed("id: 4\nda").empty());
        CHECK(reader.has_partial_event());
        auto events = reader.feed("ta: word\n\nid: 5\n");
        REQUIRE(events.size() == 1);
        CHECK(events[0].number == 4);
        CHECK(events[0].text == "id: 4\ndata: word\n\n");
    }
    GIVEN("an event with a line in front of its number")
    {
        auto events = reader.feed("versions: 3\nid: 9\ndata: word\n\n");
        REQUIRE(events.size() == 1);
        CHECK(events[0].number == 9);
    }
    GIVEN("carriage returns")
    {
        auto events = reader.feed("id: 1\r\ndata: word\r\n\r\nid: 2\r\ndata: word\r\n\r\n");
        REQUIRE(events.size() == 2);
        CHECK(events[1].number == 2);
    }
    GIVEN("an event that never ends")
    {
        reader.feed(std::string(EventStreamReader::max_event_bytes + 1, 'x'));
        CHECK(reader.is_oversized());
    }
}

SCENARIO("the events do not depend on how the stream is split into pieces")
{
    rc::prop("any cut", [](std::vector<u8> const& cuts) {
        std::string stream;
        for (u64 number = 1; number <= 20; ++number)
            stream += event(number);
        EventStreamReader reader;
        std::string joined;
        size_t position = 0;
        size_t next_cut = 0;
        while (position < stream.size()) {
            size_t length = cuts.empty() ? stream.size() : 1 + cuts[next_cut++ % cuts.size()] % 40;
            for (auto const& complete : reader.feed(std::string_view(stream).substr(position, length)))
                joined += complete.text;
            position += length;
        }
        RC_ASSERT(joined == stream);
        RC_ASSERT(!reader.has_partial_event());
    });
}

SCENARIO("each event is let through once and in order, whatever runs bring")
{
    EventOrder order;
    CHECK(order.check({ 1, event(1) }) == Verdict::Forward);
    CHECK(order.check({ 2, event(2) }) == Verdict::Forward);
    WHEN("a continued run repeats what the caller has")
    {
        CHECK(order.check({ 2, event(2) }) == Verdict::Drop);
        CHECK(order.check({ 3, event(3) }) == Verdict::Forward);
        CHECK(order.last() == 3);
    }
    WHEN("events are missing")
    {
        CHECK(order.check({ 4, event(4) }) == Verdict::Gap);
        CHECK(order.last() == 2);
    }

    rc::prop("any mixture of numbers", [](std::vector<u8> const& numbers) {
        EventOrder mixed;
        std::optional<u64> before;
        for (auto number : numbers) {
            if (mixed.check({ number, {} }) != Verdict::Forward)
                continue;
            RC_ASSERT(!before || number == *before + 1);
            before = number;
        }
    });
}
