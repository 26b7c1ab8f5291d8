/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    // A fixed seed gives the same cases on every run; a failure prints how to rerun its case alone.
    setenv("RC_PARAMS", "seed=20261202", 0);
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    return Catch::Session().run(argc, argv);
}
