/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Parallel.h>
#include <LibPolicyBench/Cells.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <map>
#include <sstream>

namespace PolicyBench {

using Scheduling::ForecastAdmission;
using Scheduling::MaximumReservation;
using Scheduling::PolicyConstants;
using Scheduling::PromptOnlyReservation;

static constexpr u32 independent_router_count = 4;

static PolicyConstants first_come_constants()
{
    PolicyConstants constants;
    constants.is_fair = false;
    constants.refuses_by_forecast = false;
    // First come, first served: no request bypasses the head of the queue.
    constants.bypass_share = 0;
    constants.reserves_engine = false;
    constants.bypass_depth = 1;
    return constants;
}

static std::unique_ptr<Dispatcher> make_forecast(PolicyConstants const& constants)
{
    return std::make_unique<PoolDispatcher<ForecastAdmission>>(
        constants, [](PolicyConstants const& own) { return ForecastAdmission(own); });
}

static std::unique_ptr<Dispatcher> make_divided(size_t owner_count)
{
    std::vector<std::unique_ptr<Dispatcher>> owners;
    for (size_t i = 0; i < owner_count; ++i)
        owners.push_back(make_forecast({}));
    return std::make_unique<SplitBrainOwners>(std::move(owners));
}

std::vector<std::string> const& policy_names()
{
    static std::vector<std::string> const names { "forecast", "clairvoyant", "maximum_reservation", "prompt_only",
        "least_reported", "two_choices", "divided_2", "divided_4" };
    return names;
}

static void set_constant(PolicyConstants& constants, std::string const& name, double value)
{
    using Setter = void (*)(PolicyConstants&, double);
    static std::map<std::string, Setter> const setters {
        { "initial", [](auto& all, double number) { all.initial_safety = number; } },
        { "min", [](auto& all, double number) { all.min_safety = number; } },
        { "max", [](auto& all, double number) { all.max_safety = number; } },
        { "target", [](auto& all, double number) { all.target_preemptions_per_generation = number; } },
        { "gain", [](auto& all, double number) { all.safety_gain = number; } },
        { "shortage", [](auto& all, double number) { all.shortage_duration = AK::from_seconds(number); } },
        { "reserve", [](auto& all, double number) { all.reserve_share = number; } },
        { "bypass", [](auto& all, double number) { all.bypass_share = number; } },
        { "reserves", [](auto& all, double number) { all.reserves_engine = number > 0; } },
        { "depth", [](auto& all, double number) { all.bypass_depth = static_cast<size_t>(number); } },
        { "spare", [](auto& all, double number) { all.spare_above = number; } },
        { "large", [](auto& all, double number) { all.large_share = number; } },
        { "refusal", [](auto& all, double number) { all.refusal_share = number; } },
    };
    auto setter = setters.find(name);
    VERIFY(setter != setters.end());
    setter->second(constants, value);
}

/// Parses a policy with changed constants: "forecast:name=value:name=value".
static std::pair<std::string, PolicyConstants> parse_variation(std::string const& policy)
{
    std::istringstream parts(policy);
    std::string base;
    std::getline(parts, base, ':');
    PolicyConstants constants;
    for (std::string part; std::getline(parts, part, ':');) {
        auto equals = part.find('=');
        set_constant(constants, part.substr(0, equals), std::stod(part.substr(equals + 1)));
    }
    return { base, constants };
}

MakeDispatcher make_dispatcher(std::string const& policy, u32 seed)
{
    return [policy, seed](TrueStates const& states) -> std::unique_ptr<Dispatcher> {
        if (policy == "maximum_reservation")
            return std::make_unique<PoolDispatcher<MaximumReservation>>(
                first_come_constants(), [](PolicyConstants const&) { return MaximumReservation(); });
        if (policy == "prompt_only")
            return std::make_unique<PoolDispatcher<PromptOnlyReservation>>(
                first_come_constants(), [](PolicyConstants const&) { return PromptOnlyReservation(); });
        if (policy == "least_reported")
            return std::make_unique<IndependentRouters>(
                IndependentRouters::Rule::LeastReported, independent_router_count, seed);
        if (policy == "two_choices")
            return std::make_unique<IndependentRouters>(
                IndependentRouters::Rule::TwoChoices, independent_router_count, seed);
        if (policy == "divided_2")
            return make_divided(2);
        if (policy == "divided_4")
            return make_divided(4);
        auto [base, constants] = parse_variation(policy);
        if (base == "clairvoyant")
            return std::make_unique<PoolDispatcher<ClairvoyantAdmission>>(
                constants, [&states](PolicyConstants const&) { return ClairvoyantAdmission(states); });
        VERIFY(base == "forecast");
        return make_forecast(constants);
    };
}

double measure_capacity(Scenario const& original)
{
    constexpr double flood_rate = 200;
    constexpr u32 capacity_seed = 999;
    auto scenario = original;
    scenario.length = 120s;
    scenario.warm_up = 30s;
    for (auto& traffic : scenario.classes)
        traffic.deadline = 24h;
    auto requests = draw_requests(scenario, flood_rate, capacity_seed);
    // Serves in order of arrival, so that the served requests have the same mix as the arriving ones.
    auto make_first_come = [](TrueStates const& states) -> std::unique_ptr<Dispatcher> {
        return std::make_unique<PoolDispatcher<ClairvoyantAdmission>>(
            first_come_constants(), [&states](PolicyConstants const&) { return ClairvoyantAdmission(states); });
    };
    auto measures = Simulation(scenario, std::move(requests), make_first_come, capacity_seed).run();
    return static_cast<double>(measures.completions) / measures.measured_seconds;
}

static CellResult run_cell(Cell const& cell, double capacity)
{
    auto requests = draw_requests(cell.scenario, capacity * cell.scenario.load, cell.seed);
    Simulation simulation(cell.scenario, std::move(requests), make_dispatcher(cell.policy, cell.seed), cell.seed);
    return { cell, simulation.run() };
}

std::vector<CellResult> run_cells(std::vector<Cell> const& cells)
{
    // Measures the capacity on the plain workload, so that faults and shifts do not change the unit of load.
    std::map<std::string, double> capacities;
    std::vector<std::string> shapes;
    for (auto const& cell : cells)
        capacities.emplace(cell.scenario.name.substr(0, cell.scenario.name.find('+')), 0);
    shapes.reserve(capacities.size());
    for (auto const& [shape, capacity] : capacities)
        shapes.push_back(shape);
    Core::run_in_parallel(shapes.size(), [&](size_t number) {
        auto const& shape = shapes[number];
        capacities[shape] = measure_capacity(shape == "toll" ? toll_scenario() : hanak_scenario());
    });
    std::vector<CellResult> results(cells.size());
    Core::run_in_parallel(cells.size(), [&](size_t number) {
        auto const& name = cells[number].scenario.name;
        results[number] = run_cell(cells[number], capacities.at(name.substr(0, name.find('+'))));
    });
    return results;
}

static std::vector<u32> seeds_from(u32 first, size_t count)
{
    std::vector<u32> seeds;
    seeds.reserve(count);
    for (size_t i = 0; i < count; ++i)
        seeds.push_back(first + static_cast<u32>(i));
    return seeds;
}

std::vector<u32> tuning_seeds(bool quick) { return seeds_from(100, quick ? 1 : 6); }
std::vector<u32> reporting_seeds(bool quick) { return seeds_from(500, quick ? 1 : 6); }

std::string to_json(CellResult const& result)
{
    auto const& measures = result.measures;
    Poco::JSON::Object object;
    object.set("policy", result.cell.policy);
    object.set("scenario", result.cell.scenario.name);
    object.set("load", result.cell.scenario.load);
    object.set("seed", result.cell.seed);
    for (auto const& [name, quantile] : { std::pair("p50", 0.5), std::pair("p95", 0.95), std::pair("p99", 0.99) }) {
        object.set(std::string("stall_") + name, measures.stall.quantile(quantile));
        object.set(std::string("gap_") + name, measures.gap.quantile(quantile));
    }
    object.set("preemptions_per_thousand", measures.preemptions_per_thousand());
    object.set("goodput", measures.goodput());
    object.set("arrivals", static_cast<Poco::UInt64>(measures.arrivals));
    object.set("refusals", static_cast<Poco::UInt64>(measures.refusals));
    object.set("lost", static_cast<Poco::UInt64>(measures.lost));
    Poco::JSON::Object organisations;
    for (auto const& [organisation, tokens] : measures.tokens_of_organisation) {
        Poco::JSON::Object own;
        own.set("tokens", tokens);
        auto stall = measures.stall_of_organisation.find(organisation);
        if (stall != measures.stall_of_organisation.end())
            own.set("stall_p95", stall->second.quantile(0.95));
        auto refusals = measures.refusals_of_organisation.find(organisation);
        own.set("refusals",
            static_cast<Poco::UInt64>(refusals == measures.refusals_of_organisation.end() ? 0 : refusals->second));
        organisations.set(organisation, own);
    }
    object.set("organisations", organisations);
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

}
