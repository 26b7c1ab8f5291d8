/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/RepeatAccount.h>
#include <LibAccount/RequestAccount.h>
#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <numeric>

DEFINE_uint64(span_ms, 1000, "length of the intervals by which requests are grouped, in milliseconds");
DEFINE_double(repeat_ratio, 0.2, "value of retries.ratio in the hosts' settings");
DEFINE_double(repeat_allowance, 50, "value of retries.allowance in the hosts' settings");
DEFINE_uint64(repeat_window_ms, 10'000, "value of retries.window in the hosts' settings, in milliseconds");
DEFINE_bool(stories, false, "print all log lines of each interrupted generation, with the reason for the interruption");

struct Accounts {
    Account::RequestAccount requests;
    Account::RepeatAccount repeats;
};

/// Reads a log. Skips lines that cannot be parsed and reports them on stderr.
static void read_log(std::istream& input, std::string const& name, Accounts& accounts)
{
    size_t number = 0;
    for (std::string text; std::getline(input, text);) {
        ++number;
        auto line = Account::parse_log_line(text);
        if (!line)
            std::cerr << name << ':' << number << ": " << line.error().message << "; line skipped" << std::endl;
        else if (line.value()) {
            accounts.repeats.add(*line.value());
            accounts.requests.add(std::move(*line.value()));
        }
    }
}

static std::array<std::string_view, Account::outcome_count> outcome_names()
{
    std::array<std::string_view, Account::outcome_count> names;
    for (size_t i = 0; i < names.size(); ++i)
        names[i] = to_string(static_cast<Account::Outcome>(i));
    return names;
}

static void print_rows(std::vector<Account::Row> const& rows)
{
    constexpr double milliseconds_per_second = 1000;
    std::cout << "| from second | route | tries |";
    for (auto name : outcome_names())
        std::cout << ' ' << name << " |";
    std::cout << "\n|---|---|---|";
    for (size_t i = 0; i < Account::outcome_count; ++i)
        std::cout << "---|";
    std::cout << '\n';
    for (auto const& row : rows) {
        std::cout << "| " << static_cast<double>(row.from) / milliseconds_per_second << " | " << row.route << " | "
                  << std::accumulate(row.counts.begin(), row.counts.end(), 0U) << " |";
        for (auto count : row.counts)
            std::cout << ' ' << count << " |";
        std::cout << '\n';
    }
}

static void print_reasons(std::vector<Account::RequestTrace> const& traces)
{
    std::map<std::tuple<std::string, std::string_view, std::string>, u32> counts;
    for (auto const& trace : traces) {
        if (!trace.reason.empty())
            ++counts[{ trace.route, to_string(trace.outcome), trace.reason }];
    }
    std::cout << "\n| route | outcome | reason | tries |\n|---|---|---|---|\n";
    for (auto const& [key, count] : counts) {
        auto const& [route, outcome, reason] = key;
        std::cout << "| " << route << " | " << outcome << " | " << reason << " | " << count << " |\n";
    }
}

/// Prints the losses that better decisions of the hosts could not have prevented: the host of a request terminated, or
/// backend servers failed it.
static void print_bounds(std::vector<Account::RequestTrace> const& traces)
{
    auto count = [&](Account::Outcome outcome) {
        return std::ranges::count(traces, outcome, &Account::RequestTrace::outcome);
    };
    std::cout << "\nOf " << traces.size() << " tries, the host of " << count(Account::Outcome::HostTerminated)
              << " ended first, and " << count(Account::Outcome::FailedByServer)
              << " were given a backend server's failure after the tries that their route allows.\n";
}

/// Prints, for each service, the window in which retries came closest to the bound for all hosts, or exceeded it most.
static void print_repeats(Account::RepeatAccount const& repeats)
{
    Account::RepeatBound const bound { FLAGS_repeat_ratio, FLAGS_repeat_allowance, FLAGS_repeat_window_ms };
    std::cout << "\n| service | repeats | withheld | worst window from ms | its repeats | its requests | allowed |\n"
              << "|---|---|---|---|---|---|---|\n";
    for (auto const& [name, service] : repeats.services()) {
        auto worst = Account::worst_window(service.requests, service.repeats, bound).value_or(Account::RepeatWindow {});
        std::cout << "| " << name << " | " << service.repeats.size() << " | " << service.withheld << " | " << worst.from
                  << " | " << worst.repeats << " | " << worst.requests << " | " << worst.allowed << " |\n";
    }
}

static void print_traces(std::vector<Account::RequestTrace> const& traces)
{
    for (auto const& trace : traces) {
        if (!trace.is_generation || trace.outcome != Account::Outcome::Interrupted)
            continue;
        std::cout << '\n' << trace.id << " at " << trace.host << ": " << trace.reason << '\n';
        for (auto const& line : trace.lines) {
            std::cout << "  " << line.milliseconds - trace.received_at << " ms E" << static_cast<u32>(line.event);
            for (auto const& [key, value] : line.values) {
                if (key != "ms" && key != "event" && key != "subject")
                    std::cout << ' ' << key << '=' << value;
            }
            std::cout << '\n';
        }
    }
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "[FILE ...]: reports the outcomes of the requests in hosts' structured logs; reads standard "
        "input for - or without a FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_span_ms == 0 || FLAGS_repeat_window_ms == 0) {
        std::cerr << "--span_ms and --repeat_window_ms must be at least 1" << std::endl;
        return 2;
    }
    Accounts accounts;
    bool all_opened = true;
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]) == "-") {
            read_log(std::cin, "standard input", accounts);
            continue;
        }
        std::ifstream file(argv[i]);
        all_opened = all_opened && file;
        if (!file)
            std::cerr << argv[i] << ": cannot be opened; check its name and permissions" << std::endl;
        read_log(file, argv[i], accounts);
    }
    if (argc == 1)
        read_log(std::cin, "standard input", accounts);
    auto traces = accounts.requests.traces();
    if (!traces.empty()) {
        print_rows(count_by_time(traces, FLAGS_span_ms));
        print_reasons(traces);
        print_bounds(traces);
        print_repeats(accounts.repeats);
    }
    if (FLAGS_stories)
        print_traces(traces);
    return all_opened ? 0 : 1;
}
