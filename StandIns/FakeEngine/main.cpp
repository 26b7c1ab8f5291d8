/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/Common/StandInMain.h>
#include <StandIns/FakeEngine/FakeEngine.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9100", "address to listen on");
DEFINE_string(name, "engine", "name of the engine, and prefix of the names of its executions");
DEFINE_string(model, "", "model that it serves");
DEFINE_int64(capacity_tokens, 24000, "memory for prompts and outputs, in tokens");
DEFINE_double(time_scale, 1, "factor on the duration of a step, relative to the engine model");
DEFINE_int32(report_age_milliseconds, 0, "age of the load reports that are returned");
DEFINE_string(history, "", "file to which each execution is appended when it starts");
DEFINE_bool(checks_epochs, true, "whether orders with an older epoch are refused");

int main(int argc, char** argv)
{
    auto stop_signal = StandIns::prepare(argc, argv, "Stand-in for a model engine.");
    StandIns::FakeEngineOptions options;
    options.name = FLAGS_name;
    options.model = FLAGS_model;
    options.parameters.capacity_tokens = FLAGS_capacity_tokens;
    options.time_scale = FLAGS_time_scale;
    options.report_age = std::chrono::milliseconds(FLAGS_report_age_milliseconds);
    options.history_path = FLAGS_history;
    options.checks_epochs = FLAGS_checks_epochs;
    StandIns::FakeEngine engine(Address(FLAGS_listen), options);
    stop_signal.wait();
}
