/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <StandIns/Common/HttpStandIn.h>

namespace StandIns {

static constexpr int max_threads = 600;
static constexpr int thread_stack_bytes = 256 * 1024;
static constexpr int listen_backlog = 256;

class FunctionHandler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit FunctionHandler(HttpHandler const& handler)
        : handler(handler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        try {
            this->handler(request, response);
        } catch (std::exception const& exception) {
            if (!response.sent())
                send_response(response, 400, std::string("the stand-in cannot read this request: ") + exception.what());
        }
    }

private:
    HttpHandler const& handler;
};

class FunctionHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit FunctionHandlerFactory(HttpHandler handler)
        : handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new FunctionHandler(this->handler);
    }

private:
    HttpHandler handler;
};

HttpStandIn::HttpStandIn(Address const& listen, HttpHandler handler)
    : threads(2, max_threads, 60, thread_stack_bytes)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(listen.value()), true);
    socket.listen(listen_backlog);
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(max_threads);
    parameters->setMaxQueued(listen_backlog);
    parameters->setKeepAlive(false);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new FunctionHandlerFactory(std::move(handler)), this->threads, socket, parameters);
    this->server->start();
}

HttpStandIn::~HttpStandIn()
{
    this->server->stopAll(true);
    this->threads.joinAll();
}

std::string read_body(Poco::Net::HTTPServerRequest& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

std::map<std::string, std::string> query_of(Poco::Net::HTTPServerRequest const& request)
{
    std::map<std::string, std::string> query;
    for (auto const& [name, value] : Poco::URI(request.getURI()).getQueryParameters())
        query[name] = value;
    return query;
}

std::string path_of(Poco::Net::HTTPServerRequest const& request) { return Poco::URI(request.getURI()).getPath(); }

void send_response(Poco::Net::HTTPServerResponse& response, int status, std::string const& body,
    std::map<std::string, std::string> const& headers)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    for (auto const& [name, value] : headers)
        response.set(name, value);
    response.sendBuffer(body.data(), body.size());
}

void close_connection(Poco::Net::HTTPServerRequest& request)
{
    auto socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).detachSocket();
    socket.shutdown();
    socket.close();
}

}
