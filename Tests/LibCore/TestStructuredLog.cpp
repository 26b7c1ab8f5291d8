/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Identifiers.h>
#include <LibCore/StructuredLog.h>
#include <catch2/catch.hpp>

using Core::EventNumber;
using Core::StructuredLog;

SCENARIO("a structured log line contains the event and its fields")
{
    std::string text;
    StructuredLog log([&](std::string_view bytes) {
        text += bytes;
        return bytes.size();
    });
    log.event(EventNumber::GenerationPlaced, "request-1")
        .with("engine", EngineId("e-1"))
        .with("left_ms", Duration(1500ms))
        .with("reason", "two \"words\"\nand a line");
    log.flush();
    CHECK(text.find("event=E2102 generation_placed subject=request-1 engine=e-1 left_ms=1500") != std::string::npos);
    CHECK(text.find(R"(reason="two \"words\" and a line")") != std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 1);
}

SCENARIO("the volume of the log is limited, and dropped lines are counted")
{
    std::string text;
    bool reads = true;
    StructuredLog log(
        [&](std::string_view bytes) {
            if (!reads)
                return size_t { 0 };
            text += bytes;
            return bytes.size();
        },
        0.0);

    WHEN("more lines are written than the rate allows")
    {
        for (int i = 0; i < 1500; ++i)
            log.event(EventNumber::RequestReceived, "flood");
        CHECK(log.dropped_lines() == 500);
    }
    WHEN("the reader stalls")
    {
        reads = false;
        for (int i = 0; i < 900; ++i)
            log.event(EventNumber::RequestReceived, "flood").with("filler", std::string(1000, 'x'));
        log.flush();
        CHECK(log.dropped_lines() > 0);
        THEN("buffered lines are written when it resumes, and a line reports the number of dropped ones")
        {
            reads = true;
            log.flush();
            log.flush();
            CHECK(text.size() <= StructuredLog::max_pending_bytes + 200);
            CHECK(text.find("event=E1006 log_lines_dropped") != std::string::npos);
        }
    }
}
