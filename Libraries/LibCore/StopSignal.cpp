/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/StopSignal.h>
#include <csignal>
#include <thread>

namespace Core {

static sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

StopSignal::StopSignal()
{
    auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait()
{
    auto set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
}

void StopSignal::watch(std::function<void()> on_stop)
{
    std::thread([on_stop = std::move(on_stop)] {
        auto set = stop_signals();
        int received = 0;
        sigwait(&set, &received);
        on_stop();
    }).detach();
}

}
