/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/DispatchRecord.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Delivery::DispatchRecord;
using Delivery::Outcome;
using Delivery::Repeatability;

SCENARIO("not run is said only when no dispatch can have run")
{
    DispatchRecord record(Repeatability::AtMostOnce);
    CHECK(record.outcome() == Outcome::NotRun);
    record.about_to_send();
    CHECK(record.outcome() == Outcome::MayHaveRun);
    CHECK_FALSE(record.may_dispatch());

    WHEN("the backend server confirms that it did not start the request")
    {
        record.confirmed_not_started();
        CHECK(record.outcome() == Outcome::NotRun);
        CHECK(record.may_dispatch());
    }
    WHEN("the response arrives")
    {
        record.completed();
        CHECK(record.outcome() == Outcome::Completed);
        CHECK_FALSE(record.may_dispatch());
    }
}

TEST_CASE("the record agrees with a model that counts runs", "[property]")
{
    rc::prop("dispatch record", [](bool is_repeatable, std::vector<u8> const& fates) {
        DispatchRecord record(is_repeatable ? Repeatability::Repeatable : Repeatability::AtMostOnce);
        int runs = 0;
        for (auto fate : fates) {
            if (!record.may_dispatch())
                break;
            record.about_to_send();
            switch (fate % 4) {
            case 0: // rejected before it started
                record.confirmed_not_started();
                break;
            case 1: // lost before it arrived, which the caller cannot distinguish from the next case
                break;
            case 2: // ran, response lost
                ++runs;
                break;
            case 3: // ran, response received
                ++runs;
                record.completed();
                break;
            }
        }
        if (record.outcome() == Outcome::NotRun)
            RC_ASSERT(runs == 0);
        if (!is_repeatable)
            RC_ASSERT(runs <= 1);
    });
}
