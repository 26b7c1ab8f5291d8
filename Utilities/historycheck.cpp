/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHistory/History.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Checks the recorded history of a run against the promises.\n\n  historycheck FILE "
        "[FILE ...]\n\nThe files are written by loadgen --history, by the stand-ins' "
        "/control/history, and by timeline --format history. Exits with 1 if a promise was broken.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    History::Record record;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        std::ostringstream text;
        text << file.rdbuf();
        auto read = History::read_lines(text.str(), record);
        if (!file || !read) {
            std::cerr << argv[i] << ": " << (read ? "cannot be read" : read.error().message) << std::endl;
            return 2;
        }
    }
    auto violations = History::check_all(record);
    size_t tokens = 0;
    std::map<std::string, size_t> outcomes;
    for (auto const& generation : record.generations) {
        tokens += generation.tokens.size();
        ++outcomes[generation.outcome.empty() ? "unanswered" : generation.outcome];
    }
    std::cout << "checked " << record.generations.size() << " generations with " << tokens << " tokens, "
              << record.executions.size() << " executions, " << record.calls.size() << " service calls with "
              << record.service_executions.size() << " executions, " << record.revisions.size()
              << " revisions in force\n";
    for (auto const& [outcome, count] : outcomes)
        std::cout << "generations " << outcome << ": " << count << '\n';
    for (auto const& violation : violations)
        std::cout << "VIOLATION " << violation.promise << ": " << violation.detail << '\n';
    std::cout << "violations: " << violations.size() << std::endl;
    return violations.empty() ? 0 : 1;
}
