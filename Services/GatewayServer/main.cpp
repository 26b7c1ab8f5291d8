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

/// Carries out a planned stop: becomes not ready, stops accepting connections after the load balancer has had time to
/// notice, waits until all open requests have ended, and stops the process.
static void stop_when_drained(Node::Node& node, GatewayService& service, Gateway::GatewaySettings const& settings)
{
    node.begin_leaving();
    node.loop().after(settings.balancer_lag, [&node, &service] {
        service.frontend.stop_accepting();
        node.loop().every(drain_check_period, [&node, &service] {
            if (service.gateway.open_count() == 0)
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
        auto service = std::make_shared<GatewayService>(node, settings);
        return Node::BeginStop([&node, &settings, service] { stop_when_drained(node, *service, settings); });
    });
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The gateway of lilactiller for callers: accepts requests over HTTP, requests engines from the routers, and "
        "relays the tokens.\n\n  GatewayServer --settings FILE [--check_settings]",
        serve);
}
