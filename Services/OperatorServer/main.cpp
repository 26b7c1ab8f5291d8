/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Daemon.h>
#include <LibOperator/OperatorLoop.h>

// Time for calls in progress to complete.
static constexpr Duration completion_time = 1s;

static Result<void> serve(Core::SettingsReader& reader, bool only_check)
{
    auto settings = Operator::read_operator_settings(reader);
    TRYV(reader.finish());
    if (only_check)
        return success();
    return Node::serve_until_stopped(settings.node, [&](Node::Node& node) -> Result<Node::BeginStop> {
        TRY(auto created, Operator::OperatorLoop::create(node, settings));
        std::shared_ptr<Operator::OperatorLoop> operators(std::move(created));
        return Node::BeginStop([&node, operators] {
            node.begin_leaving();
            operators->stop_accepting();
            node.loop().after(completion_time, [&node] { node.loop().stop(); });
        });
    });
}

int main(int argc, char** argv)
{
    return Node::run_daemon(argc, argv,
        "The server of lilactiller for operators: accepts changes of the configuration by gRPC (Operator.proto) and "
        "writes them to the platform.\n\n  OperatorServer --settings FILE [--check_settings]",
        serve);
}
