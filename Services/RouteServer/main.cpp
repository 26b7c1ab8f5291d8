/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Daemon.h>
#include <LibNode/StatusServer.h>
#include <LibRouter/RouterLoop.h>

// Long enough for gateways to have heard that this router leaves, so that they ask its successor.
static constexpr Duration handover_time = 2s;

static Result<void> serve(Core::SettingsReader& reader, bool only_check)
{
    auto settings = Router::read_router_settings(reader);
    TRYV(reader.finish());
    if (only_check)
        return success();
    Node::StopSignal stop_signal;
    try {
        Node::Node node(settings.node);
        Router::RouterLoop router(node, settings);
        Node::StatusServer status(node);
        node.start();
        stop_signal.watch([&] {
            node.loop().post([&] {
                node.begin_leaving();
                node.loop().after(handover_time, [&] { node.loop().stop(); });
            });
        });
        node.loop().run();
        node.events().record(Core::EventNumber::ProcessStopped, node.settings().member.value(), "handed over");
    } catch (std::exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            std::string("cannot start (") + exception.what() + "); check the addresses in the settings", {} };
    }
    return success();
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The decisions of lilactiller: which engine takes a generation, when, and what is refused.\n\n"
        "  RouteServer --settings FILE [--check_settings]",
        serve);
}
