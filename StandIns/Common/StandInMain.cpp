/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/Common/StandInMain.h>
#include <csignal>
#include <gflags/gflags.h>

namespace StandIns {

static sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

void prepare(int argc, char** argv, std::string const& usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop()
{
    auto set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
}

}
