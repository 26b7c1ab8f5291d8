/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Settings.h>
#include <LibOverloadModel/Experiment.h>
#include <catch2/catch.hpp>

using namespace OverloadModel;

static Result<Experiment> read(std::string const& text)
{
    auto reader = Core::SettingsReader::parse("overload.yaml", text);
    REQUIRE(reader.has_value());
    return Experiment::read(reader.value());
}

SCENARIO("an experiment is read from a file and validated")
{
    GIVEN("a valid one")
    {
        auto const experiment = read("ways: [admission, take-all]\npatterns: [steady]\nhosts: [6]\nloads: [0.8, 1.3]\n"
                                     "seeds: 2\nbeliefs-late-by: 3s\n");
        REQUIRE(experiment.has_value());
        auto const cells = experiment.value().cells();
        CHECK(cells.size() == 8);
        CHECK(cells.back().shape.policy == ModelPool::Policy::TakeAll);
        CHECK(cells.back().shape.seed == 2);
        CHECK(cells.back().shape.extra_update_delay == 3s);
        CHECK(cells.back().load == 1.3);
    }
    GIVEN("unknown keys and values")
    {
        auto const experiment
            = read("ways: [admission, guess]\npatterns: [steady]\nhosts: [0]\nloads: [much]\nspeed: 3\n");
        REQUIRE_FALSE(experiment.has_value());
        auto const& message = experiment.error().message;
        THEN("the message has the line and the remedy of each")
        {
            CHECK(message.find("overload.yaml:1: ways: \"guess\" is not known; write some of take-all, admission")
                != std::string::npos);
            CHECK(message.find("overload.yaml:3: hosts: expected numbers from 1 to 10000") != std::string::npos);
            CHECK(message.find("overload.yaml:4: loads: expected numbers from 0.01 to 10") != std::string::npos);
            CHECK(message.find("overload.yaml:5: speed: is not a setting") != std::string::npos);
        }
    }
    GIVEN("one without loads")
    {
        auto const experiment = read("ways: [admission]\npatterns: [steady]\nhosts: [6]\n");
        REQUIRE_FALSE(experiment.has_value());
        CHECK(experiment.error().message.find("loads: has no value") != std::string::npos);
    }
    GIVEN("the one in Base")
    {
        auto reader = Core::SettingsReader::load(LILAC_SOURCE_DIRECTORY "/Base/overload.yaml");
        REQUIRE(reader.has_value());
        CHECK(Experiment::read(reader.value()).has_value());
    }
}

SCENARIO("an experiment is deterministic")
{
    auto const cells = read("ways: [take-all, admission]\npatterns: [steady, after-burst, engines-leave]\nhosts: [6]\n"
                            "loads: [2.0]\nseeds: 2\n")
                           .value()
                           .cells();
    auto lines = [&] {
        std::string text;
        for (auto const& result : run_cells(cells, [](size_t) {}))
            text += to_json(result) + '\n';
        return text;
    };
    auto const first = lines();
    CHECK(first == lines());
    CHECK(std::ranges::count(first, '\n') == 12);
}

SCENARIO("each row of the table is the sum over all seeds")
{
    Cell const first { { ModelPool::Policy::Admission, 62, 0s, 1 }, Pattern::Steady, 1.3 };
    auto second = first;
    second.shape.seed = 2;
    std::vector<CellResult> const results { { first, { 100, 90, 5, 5 } }, { second, { 100, 70, 10, 20 } } };
    CHECK(to_markdown(results).ends_with("| steady | 62 | admission | 1.3 | 0.800 | 0.075 | 0.125 |\n"));
    CHECK(to_plot_data(results) == "\"steady, 62 hosts, admission\"\n1.3 0.8 0.125\n");
}
