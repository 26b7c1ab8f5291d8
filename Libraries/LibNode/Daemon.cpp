/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Daemon.h>
#include <csignal>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <thread>

DEFINE_string(settings, "", "YAML settings file of this process; Base/ holds examples");
DEFINE_bool(check_settings, false, "check the settings, say what is wrong with them, and exit");

namespace Node {

int run_daemon(int argc, char** argv, std::string const& usage,
    std::function<Result<void>(Core::SettingsReader&, bool only_check)> const& serve)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Hosts have no disks: logs go to the standard error.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto reader = Core::SettingsReader::load(FLAGS_settings);
    auto result = reader ? serve(reader.value(), FLAGS_check_settings) : Result<void>(reader.error());
    if (!result) {
        std::cerr << result.error().message << std::endl;
        return 1;
    }
    if (FLAGS_check_settings)
        std::cout << FLAGS_settings << ": the settings are good" << std::endl;
    return 0;
}

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
    // A caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
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
