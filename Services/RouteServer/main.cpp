/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Daemon.h>
#include <LibRouter/RouterLoop.h>

// Long enough for the gateways to receive the message that this router is leaving, so that they use its successor.
static constexpr Duration handover_time = 2s;

static Result<void> serve(Core::SettingsReader& reader, bool only_check)
{
    auto settings = Router::read_router_settings(reader);
    TRYV(reader.finish());
    if (only_check)
        return success();
    return Node::serve_until_stopped(settings.node, [&](Node::Node& node) -> Result<Node::BeginStop> {
        auto router = std::make_shared<Router::RouterLoop>(node, settings);
        return Node::BeginStop([&node, router] {
            node.begin_leaving();
            node.loop().after(handover_time, [&node] { node.loop().stop(); });
        });
    });
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The router of lilactiller: decides which engine runs a generation, when, and which requests are refused.\n\n"
        "  RouteServer --settings FILE [--check_settings]",
        serve);
}
