/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/StatusServer.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace Node {

using Poco::Net::HTTPResponse;

static constexpr size_t max_events_shown = 1000;

static void respond(Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status, std::string const& body)
{
    response.setStatusAndReason(status);
    response.setContentType("text/plain; charset=utf-8");
    response.sendBuffer(body.data(), body.size());
}

class StatusHandler : public Poco::Net::HTTPRequestHandler {
public:
    explicit StatusHandler(Node& node)
        : node(node)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        auto const& path = request.getURI();
        if (path == "/health/live")
            this->respond_health(response, this->node.is_live(), this->node.is_live() ? "live" : "the loop is stuck");
        else if (path == "/health/ready")
            this->respond_health(response, this->node.is_ready(), this->node.readiness_reason());
        else if (path == "/metrics")
            respond(response, HTTPResponse::HTTP_OK, this->node.metrics().text());
        else if (path == "/events")
            respond(response, HTTPResponse::HTTP_OK, this->events());
        else
            respond(response, HTTPResponse::HTTP_NOT_FOUND,
                "no such page; there are /health/live, /health/ready, /metrics and /events\n");
    }

private:
    void respond_health(Poco::Net::HTTPServerResponse& response, bool is_good, std::string const& reason)
    {
        respond(response, is_good ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason + '\n');
    }

    std::string events()
    {
        std::string text;
        for (auto const& event : this->node.events().latest(max_events_shown))
            text += Core::format_event(event) + '\n';
        return text;
    }

    Node& node;
};

class StatusHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit StatusHandlerFactory(Node& node)
        : node(node)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new StatusHandler(this->node);
    }

private:
    Node& node;
};

StatusServer::StatusServer(Node& node)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(node.settings().status_listen.value()), true);
    socket.listen();
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(2);
    parameters->setKeepAlive(false);
    this->server = std::make_unique<Poco::Net::HTTPServer>(new StatusHandlerFactory(node), socket, parameters);
    this->server->start();
}

StatusServer::~StatusServer() { this->server->stopAll(true); }

}
