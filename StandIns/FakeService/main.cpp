/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/Common/StandInMain.h>
#include <StandIns/FakeService/FakeService.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9200", "address to listen on");
DEFINE_string(name, "service", "name of the server, written to its history");
DEFINE_string(history, "", "file to which each execution is appended");

int main(int argc, char** argv)
{
    auto stop_signal = StandIns::prepare(argc, argv, "Stand-in for a plain service.");
    StandIns::FakeService service(Address(FLAGS_listen), FLAGS_name, FLAGS_history);
    stop_signal.wait();
}
