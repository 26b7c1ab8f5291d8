/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerFrontend.h>
#include <LibNode/Daemon.h>
#include <LibNode/StatusServer.h>

static constexpr Duration drain_check_period = 50ms;

/// A planned stop: not ready at once, then no new connections once the balancer has noticed, then the end of every
/// open request, then the end of the process.
static void stop_when_drained(Node::Node& node, Gateway::GatewayLoop& gateway, Gateway::CallerFrontend& frontend,
    Gateway::GatewaySettings const& settings)
{
    node.begin_leaving();
    node.loop().after(settings.balancer_lag, [&] {
        frontend.stop_accepting();
        node.loop().every(drain_check_period, [&] {
            if (gateway.open_count() == 0)
                node.loop().stop();
        });
    });
}

static Result<void> serve(Core::SettingsReader& reader, bool only_check)
{
    auto settings = Gateway::read_gateway_settings(reader);
    TRYV(reader.finish());
    if (only_check)
        return success();
    Node::StopSignal stop_signal;
    try {
        Node::Node node(settings.node);
        Gateway::GatewayLoop gateway(node, settings);
        Gateway::CallerFrontend frontend(gateway, settings);
        Node::StatusServer status(node);
        node.start();
        stop_signal.watch([&] { node.loop().post([&] { stop_when_drained(node, gateway, frontend, settings); }); });
        node.loop().run();
        node.events().record(Core::EventNumber::ProcessStopped, node.settings().member.value(), "drained");
    } catch (std::exception const& exception) {
        return Error { ErrorKind::InvalidSettings,
            std::string("cannot start (") + exception.what() + "); check the addresses and files in the settings", {} };
    }
    return success();
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The callers' side of lilactiller: takes requests over HTTP, asks the routers for an engine, and relays its "
        "tokens.\n\n  GatewayServer --settings FILE [--check_settings]",
        serve);
}
