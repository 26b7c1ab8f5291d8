/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/StopSignal.h>
#include <LibNode/Daemon.h>
#include <LibNode/StatusServer.h>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(settings, "", "YAML settings file of this process; Base/ holds examples");
DEFINE_bool(check_settings, false, "check the settings, report errors in them, and exit");

namespace Node {

int run_daemon(int argc, char** argv, std::string const& usage,
    std::function<Result<void>(Core::SettingsReader&, bool only_check)> const& serve)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Hosts have no disks, so logs go to standard error.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto reader = Core::SettingsReader::load(FLAGS_settings);
    auto result = reader ? serve(reader.value(), FLAGS_check_settings) : Result<void>(reader.error());
    if (!result) {
        std::cerr << result.error().message << std::endl;
        return 1;
    }
    if (FLAGS_check_settings)
        std::cout << FLAGS_settings << ": the settings are valid" << std::endl;
    return 0;
}

Result<void> serve_until_stopped(
    NodeSettings const& settings, std::function<Result<BeginStop>(Node&)> const& make_service)
{
    Core::StopSignal stop_signal;
    try {
        Node node(settings);
        TRY(auto begin_stop, make_service(node));
        StatusServer status(node);
        node.start();
        stop_signal.watch([&] { node.loop().post(begin_stop); });
        node.loop().run();
        node.events().record(Core::EventNumber::ProcessStopped, settings.member.value(), "planned stop is over");
    } catch (std::exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            std::string("cannot start (") + exception.what() + "); check the addresses and files in the settings", {} };
    }
    return success();
}

}
