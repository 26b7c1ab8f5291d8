/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GatewaySettings.h>
#include <LibOperator/OperatorSettings.h>
#include <LibRouter/RouterSettings.h>
#include <catch2/catch.hpp>

static Core::SettingsReader base_settings(std::string const& name)
{
    auto reader = Core::SettingsReader::load(std::string(LILAC_SOURCE_DIRECTORY) + "/Base/" + name);
    REQUIRE(reader.has_value());
    return reader.value();
}

SCENARIO("the examples in Base are valid and contain the default values")
{
    auto gateway = base_settings("gateway.yaml");
    auto gateway_settings = Gateway::read_gateway_settings(gateway);
    CHECK(gateway.finish().has_value());
    CHECK(gateway_settings.stall_limit == Gateway::GatewaySettings().stall_limit);
    CHECK(gateway_settings.resume_grace == Gateway::GatewaySettings().resume_grace);
    CHECK(gateway_settings.node.heartbeat_period == Node::NodeSettings().heartbeat_period);

    auto router = base_settings("router.yaml");
    auto router_settings = Router::read_router_settings(router);
    CHECK(router.finish().has_value());
    CHECK(router_settings.claim_period == Router::RouterSettings().claim_period);
    CHECK(router_settings.lease_term == Router::RouterSettings().lease_term);

    auto operator_reader = base_settings("operator.yaml");
    (void)Operator::read_operator_settings(operator_reader);
    CHECK(operator_reader.finish().has_value());
}

SCENARIO("the error for an invalid operator entry does not contain its hash")
{
    auto reader = Core::SettingsReader::parse("operator.yaml", "operator:\n  operators: [\"vesela:chief:abcdef\"]\n");
    (void)Operator::read_operator_settings(reader.value());
    auto message = reader.value().finish().error().message;
    CHECK(message.find("name:viewer:<sha-256>") != std::string::npos);
    CHECK(message.find("abcdef") == std::string::npos);
}
