/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Parallel.h>
#include <LibCore/Settings.h>
#include <LibOverloadModel/Experiment.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <iomanip>
#include <mutex>
#include <sstream>

namespace OverloadModel {

using Policy = ModelPool::Policy;

static constexpr std::array known_policies { std::pair { "take-all", Policy::TakeAll },
    std::pair { "admission", Policy::Admission }, std::pair { "priorities", Policy::Priorities },
    std::pair { "waiting", Policy::Waiting }, std::pair { "shares", Policy::Shares } };
static constexpr std::array known_patterns { std::pair { "steady", Pattern::Steady },
    std::pair { "after-burst", Pattern::AfterBurst }, std::pair { "engines-leave", Pattern::EnginesReplaced },
    std::pair { "large-organisation", Pattern::LargeOrganisation } };

static constexpr i64 max_hosts = 10'000;
static constexpr double max_load = 10;
static constexpr i64 max_seeds = 1000;

template<typename Names, typename Value>
static std::string name_of(Names const& names, Value value)
{
    return std::ranges::find(names, value, [](auto const& entry) { return entry.second; })->first;
}

std::string to_string(Policy policy) { return name_of(known_policies, policy); }
std::string to_string(Pattern pattern) { return name_of(known_patterns, pattern); }

template<typename Names>
static auto read_names(Core::SettingsReader& reader, std::string const& key, Names const& names)
{
    std::vector<decltype(names.front().second)> values;
    for (auto const& text : reader.text_list(key)) {
        auto const known = std::ranges::find(names, text, [](auto const& entry) { return std::string(entry.first); });
        if (known != names.end()) {
            values.push_back(known->second);
            continue;
        }
        std::string all;
        for (auto const& [name, value] : names)
            all += (all.empty() ? "" : ", ") + std::string(name);
        reader.add_error(key, "\"" + text + "\" is not known; write some of " + all);
    }
    return values;
}

template<typename Number>
static std::vector<Number> read_numbers(Core::SettingsReader& reader, std::string const& key, Number min, Number max)
{
    std::vector<Number> values;
    for (auto const& text : reader.text_list(key)) {
        Number value {};
        auto const* end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, value);
        if (parsed.ec == std::errc {} && parsed.ptr == end && value >= min && value <= max) {
            values.push_back(value);
            continue;
        }
        std::ostringstream remedy;
        remedy << "expected numbers from " << min << " to " << max;
        reader.add_error(key, remedy.str());
    }
    return values;
}

Result<Experiment> Experiment::read(Core::SettingsReader reader)
{
    Experiment experiment;
    experiment.policies = read_names(reader, "ways", known_policies);
    experiment.patterns = read_names(reader, "patterns", known_patterns);
    experiment.hosts = read_numbers<u32>(reader, "hosts", 1, max_hosts);
    experiment.loads = read_numbers<double>(reader, "loads", 0.01, max_load);
    experiment.extra_update_delay = reader.duration_or("beliefs-late-by", 0s);
    experiment.seeds = static_cast<u32>(reader.whole_number_or("seeds", 1, 1, max_seeds));
    for (auto const& [key, is_empty] :
        { std::pair { "ways", experiment.policies.empty() }, std::pair { "patterns", experiment.patterns.empty() },
            std::pair { "hosts", experiment.hosts.empty() }, std::pair { "loads", experiment.loads.empty() } }) {
        if (is_empty)
            reader.add_error(key, "has no value that can be used; write a list of one at least");
    }
    auto checked = reader.finish();
    if (!checked)
        return checked.error();
    return experiment;
}

std::vector<Cell> Experiment::cells() const
{
    std::vector<Cell> cells;
    for (auto const pattern : this->patterns)
        for (auto const host_count : this->hosts)
            for (auto const policy : this->policies)
                for (auto const load : this->loads)
                    for (u32 seed = 1; seed <= this->seeds; ++seed)
                        cells.push_back({ { policy, host_count, this->extra_update_delay, seed }, pattern, load });
    return cells;
}

static constexpr Duration warm_up = 10s;

static ModelPool::Outcome run_steady(ModelPool& pool, double load)
{
    pool.run(std::min(load, 0.8), warm_up);
    auto const outcome = pool.run(load, 20s);
    pool.run(load, pool.settling_time());
    return *outcome;
}

static ModelPool::Outcome run_after_burst(ModelPool& pool, double load)
{
    constexpr double ordinary_load = 0.7;
    pool.run(ordinary_load, warm_up);
    pool.run(load, 7s);
    pool.run(ordinary_load, 2s);
    auto const outcome = pool.run(ordinary_load, 5s);
    pool.run(ordinary_load, pool.settling_time());
    return *outcome;
}

static ModelPool::Outcome run_engines_replaced(ModelPool& pool, double load)
{
    pool.run(std::min(load, 0.8), warm_up);
    std::vector<std::shared_ptr<ModelPool::Outcome const>> outcomes;
    for (int i = 0; i < 4; ++i) {
        pool.replace_engines(6);
        outcomes.push_back(pool.run(load, 3300ms));
    }
    pool.run(load, pool.settling_time());
    ModelPool::Outcome sum;
    for (auto const& outcome : outcomes)
        sum += *outcome;
    return sum;
}

static CellResult run_cell(Cell const& cell)
{
    ModelPool pool(cell.shape);
    switch (cell.pattern) {
    case Pattern::Steady:
        return { cell, run_steady(pool, cell.load) };
    case Pattern::AfterBurst:
        return { cell, run_after_burst(pool, cell.load) };
    case Pattern::EnginesReplaced:
        return { cell, run_engines_replaced(pool, cell.load) };
    case Pattern::LargeOrganisation:
        pool.set_large_organisation(9);
        return { cell, run_steady(pool, cell.load) };
    }
    VERIFY(false);
}

std::vector<CellResult> run_cells(std::vector<Cell> const& cells, std::function<void(size_t)> const& on_progress)
{
    std::vector<CellResult> results(cells.size());
    std::mutex mutex;
    size_t done = 0;
    Core::run_in_parallel(cells.size(), [&](size_t number) {
        results[number] = run_cell(cells[number]);
        std::lock_guard const lock(mutex);
        on_progress(++done);
    });
    return results;
}

std::string to_json(CellResult const& result)
{
    auto const& [cell, outcome] = result;
    Poco::JSON::Object object;
    object.set("way", to_string(cell.shape.policy));
    object.set("pattern", to_string(cell.pattern));
    object.set("hosts", cell.shape.hosts);
    object.set("load", cell.load);
    object.set("beliefs_late_ms", AK::to_milliseconds(cell.shape.extra_update_delay));
    object.set("seed", cell.shape.seed);
    object.set("asked", outcome.requests);
    object.set("in_time", outcome.in_time);
    object.set("late", outcome.late);
    object.set("refused", outcome.refused);
    object.set("urgent_asked", outcome.urgent.requests);
    object.set("urgent_in_time", outcome.urgent.in_time);
    object.set("urgent_refused", outcome.urgent.refused);
    object.set("refused_while_half_free", outcome.refused_while_half_free);
    object.set("worst_organisation", outcome.worst_organisation());
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

namespace {

    /// One row of the table: the sum over all seeds.
    struct TableRow {
        Cell cell;
        ModelPool::Outcome outcome;
        [[nodiscard]] bool matches(Cell const& other) const
        {
            return this->is_in_same_block(other) && this->cell.load == other.load;
        }
        [[nodiscard]] bool is_in_same_block(Cell const& other) const
        {
            return this->cell.shape.policy == other.shape.policy && this->cell.pattern == other.pattern
                && this->cell.shape.hosts == other.shape.hosts;
        }
        [[nodiscard]] double share(u32 count) const { return count / std::max(1.0, double(this->outcome.requests)); }
    };

}

/// Expects the cells of one row to be adjacent.
static std::vector<TableRow> sum_over_seeds(std::vector<CellResult> const& results)
{
    std::vector<TableRow> rows;
    for (auto const& [cell, outcome] : results) {
        if (rows.empty() || !rows.back().matches(cell))
            rows.push_back({ cell, {} });
        rows.back().outcome += outcome;
    }
    return rows;
}

std::string to_markdown(std::vector<CellResult> const& results)
{
    std::ostringstream out;
    out << "| pattern | hosts | way | load | in time | late | refused |\n|---|---|---|---|---|---|---|\n";
    for (auto const& row : sum_over_seeds(results)) {
        auto const& outcome = row.outcome;
        out << "| " << to_string(row.cell.pattern) << " | " << row.cell.shape.hosts << " | "
            << to_string(row.cell.shape.policy) << " | " << row.cell.load << " | " << std::fixed << std::setprecision(3)
            << row.share(outcome.in_time) << " | " << row.share(outcome.late) << " | " << row.share(outcome.refused)
            << " |\n"
            << std::defaultfloat << std::setprecision(6);
    }
    return out.str();
}

std::string claims_to_markdown(std::vector<CellResult> const& results)
{
    std::ostringstream out;
    out << "| pattern | hosts | way | load | urgent in time | urgent refused | less urgent in time | less urgent "
           "refused "
           "| refused while half free | worst organisation |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (auto const& row : sum_over_seeds(results)) {
        auto const& outcome = row.outcome;
        out << "| " << to_string(row.cell.pattern) << " | " << row.cell.shape.hosts << " | "
            << to_string(row.cell.shape.policy) << " | " << row.cell.load << std::fixed << std::setprecision(3);
        for (auto const* tally : { &outcome.urgent, &outcome.less_urgent })
            out << " | " << tally->share_in_time() << " | " << tally->share_refused();
        out << " | " << row.share(outcome.refused_while_half_free) << " | " << outcome.worst_organisation() << " |\n"
            << std::defaultfloat << std::setprecision(6);
    }
    return out.str();
}

std::string to_plot_data(std::vector<CellResult> const& results)
{
    std::ostringstream out;
    TableRow const* previous = nullptr;
    auto const rows = sum_over_seeds(results);
    for (auto const& row : rows) {
        if (!previous || !previous->is_in_same_block(row.cell)) {
            out << (previous ? "\n\n" : "") << '"' << to_string(row.cell.pattern) << ", " << row.cell.shape.hosts
                << " hosts, " << to_string(row.cell.shape.policy) << "\"\n";
        }
        out << row.cell.load << ' ' << row.share(row.outcome.in_time) << ' ' << row.share(row.outcome.refused) << '\n';
        previous = &row;
    }
    return out.str();
}

}
