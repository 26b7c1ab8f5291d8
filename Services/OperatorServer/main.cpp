/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Daemon.h>
#include <LibNode/StatusServer.h>
#include <LibOperator/OperatorLoop.h>

// Time for the calls under way to be answered.
static constexpr Duration stop_time = 1s;

static Result<void> serve(Core::SettingsReader& reader, bool only_check)
{
    auto settings = Operator::read_operator_settings(reader);
    TRYV(reader.finish());
    if (only_check)
        return success();
    Node::StopSignal stop_signal;
    try {
        Node::Node node(settings.node);
        TRY(auto operators, Operator::OperatorLoop::create(node, settings));
        Node::StatusServer status(node);
        node.start();
        stop_signal.watch([&] {
            node.loop().post([&] {
                node.begin_leaving();
                operators->stop_accepting();
                node.loop().after(stop_time, [&] { node.loop().stop(); });
            });
        });
        node.loop().run();
        node.events().record(Core::EventNumber::ProcessStopped, node.settings().member.value(), "stopped");
    } catch (std::exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            std::string("cannot start (") + exception.what() + "); check the addresses in the settings", {} };
    }
    return success();
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The operators' side of lilactiller: takes changes of the configuration by gRPC (Operator.proto) and writes "
        "them to the platform.\n\n  OperatorServer --settings FILE [--check_settings]",
        serve);
}
