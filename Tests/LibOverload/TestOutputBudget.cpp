/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/OutputBudget.h>
#include <catch2/catch.hpp>
#include <vector>

using Overload::OutputBudget;

static constexpr size_t smallest_host_memory = 88 << 20;
static constexpr size_t piece = 16 << 10;

/// Callers that read nothing, for each of which data is fetched until the budget pauses it.
static std::vector<size_t> fill(OutputBudget& budget, size_t callers)
{
    std::vector<size_t> unsent(callers);
    for (bool any = true; any;) {
        any = false;
        for (auto& bytes : unsent) {
            if (budget.must_pause(bytes))
                continue;
            bytes += piece;
            budget.add(piece);
            any = true;
        }
    }
    return unsent;
}

SCENARIO("callers that read slowly share a bounded part of a small host's memory")
{
    auto const total = OutputBudget::total_for(smallest_host_memory);
    OutputBudget budget(total);

    SECTION("a host of 88 MB holds at most a quarter of it") { CHECK(total == smallest_host_memory / 4); }

    SECTION("one slow reader may use half")
    {
        auto const unsent = fill(budget, 1);
        CHECK(unsent.front() <= total / 2 + piece);
        CHECK(unsent.front() >= total / 2 - piece);
    }

    SECTION("a hundred that read nothing get equal parts, and the sum stays within the budget")
    {
        auto const unsent = fill(budget, 100);
        CHECK(!budget.is_exceeded());
        auto const [least, most] = std::ranges::minmax(unsent);
        CHECK(most - least <= piece);
    }

    SECTION("a caller that reads is not held up by one that does not")
    {
        fill(budget, 1);
        CHECK(!budget.must_pause(piece));
    }

    SECTION("with all memory used, every caller still gets a small response")
    {
        budget.add(total);
        CHECK(!budget.must_pause(OutputBudget::min_per_caller));
        CHECK(budget.must_pause(OutputBudget::min_per_caller + 1));
    }

    SECTION("a paused caller resumes when it has read half of what it may have")
    {
        auto const unsent = fill(budget, 1).front();
        CHECK(budget.must_pause(unsent));
        CHECK(!budget.may_resume(unsent));
        budget.remove(unsent / 2);
        CHECK(budget.may_resume(unsent / 2));
    }

    SECTION("responses that were complete before they were read can exceed it")
    {
        budget.add(total + 1);
        CHECK(budget.is_exceeded());
        budget.remove(total + 1);
        CHECK(!budget.is_exceeded());
    }

    SECTION("a setting that is far too small leaves room for requests")
    {
        OutputBudget tiny(0);
        CHECK(!tiny.must_pause(OutputBudget::min_per_caller));
        CHECK(!tiny.is_exceeded());
    }
}
