/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "CommaList.h"
#include "EventText.h"
#include "OperatorClient.h"
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <tuple>

DEFINE_string(servers, "127.0.0.1:7001", "comma-separated addresses of one OperatorServer per failure domain");
DEFINE_string(key, "", "operator key; if empty, the environment variable LILAC_OPERATOR_KEY is used");
DEFINE_string(root_certificate, "", "PEM file to verify the servers' certificates with; enables TLS");
DEFINE_uint64(maximum, 500, "maximum number of events from each process");
DEFINE_string(subject, "", "only events about this generation, change, engine or member");
DEFINE_string(format, "text", "text; trace (Chrome trace event format); or history (for historycheck)");

static std::vector<wire::EventRecord> collect()
{
    auto const* from_environment = std::getenv("LILAC_OPERATOR_KEY");
    auto key = FLAGS_key.empty() && from_environment ? from_environment : FLAGS_key;
    std::vector<wire::EventRecord> events;
    for (auto const& server : split_at_commas(FLAGS_servers)) {
        auto batch = OperatorClient(server, key, FLAGS_root_certificate).events(FLAGS_maximum);
        if (!batch) {
            std::cerr << server << ": " << batch.error().message << "; events of its failure domain are missing"
                      << std::endl;
            continue;
        }
        for (auto const& event : batch.value().events()) {
            if (FLAGS_subject.empty() || event.subject() == FLAGS_subject)
                events.push_back(event);
        }
    }
    std::ranges::sort(events, {}, [](wire::EventRecord const& event) {
        return std::tuple(event.wall_milliseconds(), event.counter(), event.member());
    });
    return events;
}

static void print_trace(std::vector<wire::EventRecord> const& events)
{
    constexpr u64 microseconds_per_millisecond = 1000;
    Poco::JSON::Array array;
    for (auto const& event : events) {
        Poco::JSON::Object object;
        object.set("name",
            std::string(Core::describe(static_cast<Core::EventNumber>(event.number())).name) + ' ' + event.subject());
        object.set("ph", "i");
        object.set("s", "t");
        object.set("ts", static_cast<Poco::UInt64>(event.wall_milliseconds() * microseconds_per_millisecond));
        object.set("pid", event.member());
        object.set("tid", event.member());
        Poco::JSON::Object arguments;
        arguments.set("text", event.text());
        arguments.set("number", event.number());
        object.set("args", arguments);
        array.add(object);
    }
    Poco::JSON::Object trace;
    trace.set("traceEvents", array);
    trace.stringify(std::cout);
    std::cout << std::endl;
}

/// Prints the revisions that each process had in force, in order. A restart of a process starts a new sequence.
static void print_history(std::vector<wire::EventRecord> const& events)
{
    std::map<std::string, u64> incarnations;
    for (auto const& event : events) {
        auto number = static_cast<Core::EventNumber>(event.number());
        if (number == Core::EventNumber::ProcessStarted)
            ++incarnations[event.member()];
        if (number != Core::EventNumber::RevisionInForce)
            continue;
        std::cout << R"({"kind":"revision","member":")" << event.member() << R"(","incarnation":)"
                  << incarnations[event.member()] << R"(,"revision":)" << event.subject() << "}\n";
    }
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Merges the events of all processes into one timeline.\n\n"
                            "  timeline --servers A,B,C [--format text|trace|history] [--subject ID]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto events = collect();
    if (FLAGS_format == "trace")
        print_trace(events);
    else if (FLAGS_format == "history")
        print_history(events);
    else {
        for (auto const& event : events)
            std::cout << format_record(event) << '\n';
    }
    return events.empty() ? 1 : 0;
}
