/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/StreamCopier.h>
#include <Tests/Support/TestFleet.h>
#include <Utilities/OperatorClient.h>
#include <catch2/catch.hpp>

static std::string const certificate = std::string(LILAC_SOURCE_DIRECTORY) + "/Tests/Data/test-only-certificate.pem";

SCENARIO("callers and operators can be served by TLS only")
{
    TestFleet fleet({ .gateways = 1, .routers = 1, .engines = 1 });
    fleet.start_operator(true);
    fleet.gateways[0].reset();
    fleet.start_gateway(0, true);
    wait_until("the gateway to be ready", [&] {
        auto& daemon = fleet.gateways[0]->daemon;
        return daemon.on_loop([&] {
            return daemon.node->configuration().revision() == Revision(8)
                && daemon.node->members().others().size() >= 2;
        });
    });
    auto port = fleet.gateways[0]->frontend.port();

    WHEN("a caller trusts the certificate")
    {
        Poco::Net::Context::Ptr context(new Poco::Net::Context(
            Poco::Net::Context::TLS_CLIENT_USE, "", "", certificate, Poco::Net::Context::VERIFY_STRICT));
        Poco::Net::HTTPSClientSession session("127.0.0.1", port, context);
        Poco::Net::HTTPRequest request("POST", "/v1/completions", Poco::Net::HTTPMessage::HTTP_1_1);
        std::string body = R"({"model":"summary","prompt":"x [tokens=3]"})";
        request.set("Authorization", "Bearer toll-key");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::string response_body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), response_body);
        CHECK(response.getStatus() == 200);
        CHECK(response_body.find("\"outcome\":\"completed\"") != std::string::npos);
    }
    WHEN("a caller connects without TLS")
    {
        Address plain("127.0.0.1:" + std::to_string(port));
        CHECK_FALSE(Platform::call_http(plain, { "GET", "/health/ready", "", {} }, 2s).has_value());
    }
    WHEN("an operator trusts the certificate")
    {
        CHECK(OperatorClient(fleet.operator_address().value(), "viewer-key", certificate).get().has_value());
    }
    WHEN("an operator connects without TLS")
    {
        CHECK_FALSE(OperatorClient(fleet.operator_address().value(), "viewer-key", "").get().has_value());
    }
}
