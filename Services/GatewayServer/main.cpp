/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerFrontend.h>
#include <LibNode/Daemon.h>

static constexpr Duration drain_check_period = 50ms;

struct GatewayService {
    GatewayService(Node::Node& node, Gateway::GatewaySettings const& settings)
        : gateway(node, settings)
        , frontend(this->gateway, settings)
    {
    }

    Gateway::GatewayLoop gateway;
    Gateway::CallerFrontend frontend;
};

/// A planned stop: not ready at once, then no new connections once the balancer has noticed, then the end of every
/// open request, then the end of the process.
static void stop_when_drained(Node::Node& node, GatewayService& part, Gateway::GatewaySettings const& settings)
{
    node.begin_leaving();
    node.loop().after(settings.balancer_lag, [&node, &part] {
        part.frontend.stop_accepting();
        node.loop().every(drain_check_period, [&node, &part] {
            if (part.gateway.open_count() == 0)
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
    return Node::serve_until_stopped(settings.node, [&](Node::Node& node) -> Result<Node::BeginStop> {
        auto part = std::make_shared<GatewayService>(node, settings);
        return Node::BeginStop([&node, &settings, part] { stop_when_drained(node, *part, settings); });
    });
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The callers' side of lilactiller: takes requests over HTTP, asks the routers for an engine, and relays its "
        "tokens.\n\n  GatewayServer --settings FILE [--check_settings]",
        serve);
}
