/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Settings.h>
#include <LibOverloadModel/Experiment.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(experiment, "Base/overload.yaml", "YAML file with the policies, patterns, sizes and loads to simulate");
DEFINE_string(output, "", "folder for cells.jsonl, table.md and plot.dat");

using namespace OverloadModel;

static Result<Experiment> read_experiment(std::string const& path)
{
    auto reader = Core::SettingsReader::load(path);
    if (!reader)
        return reader.error();
    return Experiment::read(reader.value());
}

static void show_progress(size_t done, size_t all)
{
    std::cerr << '\r' << done << " of " << all << " cells" << (done == all ? "\n" : "") << std::flush;
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Simulates engines under more load than they can handle, in virtual time, with the "
                            "production admission code.\n\n  overloadbench --experiment FILE [--output FOLDER]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const experiment = read_experiment(FLAGS_experiment);
    if (!experiment) {
        std::cerr << experiment.error().message << '\n';
        return 2;
    }
    auto const cells = experiment.value().cells();
    auto const results = run_cells(cells, [&](size_t done) { show_progress(done, cells.size()); });
    auto const table = to_markdown(results) + "\n" + claims_to_markdown(results);
    std::cout << table;
    if (FLAGS_output.empty())
        return 0;
    std::ofstream lines(FLAGS_output + "/cells.jsonl");
    for (auto const& result : results)
        lines << to_json(result) << '\n';
    std::ofstream(FLAGS_output + "/table.md") << table;
    std::ofstream(FLAGS_output + "/plot.dat") << to_plot_data(results);
    return 0;
}
