/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerFrontend.h>
#include <LibGateway/GenerationSession.h>
#include <LibGateway/ServiceCallSession.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <charconv>
#include <glog/logging.h>

namespace Gateway {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

static constexpr int listen_backlog = 256;
static constexpr int spare_threads = 64;
static constexpr int thread_stack_bytes = 256 * 1024;
static constexpr long caller_timeout_seconds = 10;
static constexpr size_t max_idempotency_key_bytes = 256;

static Result<std::string> read_body(HTTPServerRequest& request)
{
    auto too_large = Error { ErrorKind::BodyTooLarge,
        "the body is larger than " + std::to_string(max_request_bytes) + " bytes; send less", {} };
    if (request.hasContentLength() && request.getContentLength64() > static_cast<i64>(max_request_bytes))
        return too_large;
    std::string body;
    char buffer[16384];
    auto& stream = request.stream();
    while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
        body.append(buffer, static_cast<size_t>(stream.gcount()));
        if (body.size() > max_request_bytes)
            return too_large;
    }
    if (request.hasContentLength() && static_cast<i64>(body.size()) != request.getContentLength64())
        return Error { ErrorKind::InvalidRequest, "the body ended early; send it whole", {} };
    return body;
}

static u64 now_seconds() { return Core::SystemClock().wall_milliseconds() / 1000; }

/// State shared by the handlers of all paths.
struct Frontend {
    GatewayLoop& gateway;
    GatewaySettings const& settings;
};

class CallerHandler : public Poco::Net::HTTPRequestHandler {
public:
    explicit CallerHandler(Frontend frontend)
        : frontend(frontend)
    {
    }

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) final
    {
        if (this->frontend.gateway.own_node().is_leaving_itself())
            response.setKeepAlive(false);
        auto served = this->check_load();
        if (served)
            served = this->serve(request, response);
        if (!served) {
            // An unread rest of the body must not be parsed as the next request.
            response.setKeepAlive(false);
            send_error(response, served.error(), Delivery::Outcome::NotRun);
        }
    }

protected:
    /// Serves the request, or returns an error if the request was rejected before any work was done.
    virtual Result<void> serve(HTTPServerRequest&, HTTPServerResponse&) = 0;

    Frontend frontend;

private:
    Result<void> check_load()
    {
        auto open = static_cast<i64>(this->frontend.gateway.open_count());
        if (open < this->frontend.settings.max_open_calls)
            return success();
        return Error { ErrorKind::Overloaded, "this host has too many open requests; come back after the time given",
            1s };
    }
};

class GenerationHandler final : public CallerHandler {
public:
    GenerationHandler(Frontend frontend, ApiShape shape)
        : CallerHandler(frontend)
        , shape(shape)
    {
    }

private:
    Result<void> serve(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        TRY(auto api_key, parse_bearer(request.get("Authorization", "")));
        TRY(auto deadline, parse_deadline(request.get("Lilactiller-Deadline-Milliseconds", "")));
        TRY(auto body, read_body(request));
        TRY(auto parsed, parse_generation_request(this->shape, body));
        auto call = std::make_shared<GenerationCall>();
        call->generation = this->frontend.gateway.new_generation_id();
        call->request = std::move(parsed);
        call->request.api_key = std::move(api_key);
        call->request.deadline = deadline;
        CallerWriter writer(
            response, { call->generation, call->request.route, this->shape, now_seconds() }, call->request.stream);
        writer.set_header("Lilactiller-Generation", call->generation.value());
        GenerationSession(this->frontend.gateway, this->frontend.settings, writer).serve(call);
        return success();
    }

    ApiShape shape;
};

class ResumeHandler final : public CallerHandler {
public:
    using CallerHandler::CallerHandler;

private:
    static Result<u64> parse_next_offset(Poco::URI const& uri)
    {
        for (auto const& [name, value] : uri.getQueryParameters()) {
            u64 offset = 0;
            auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), offset);
            if (name == "next_offset" && error == std::errc() && end == value.data() + value.size())
                return offset;
        }
        return Error { ErrorKind::InvalidRequest, "add ?next_offset=N, the number of tokens you have", {} };
    }

    Result<void> serve(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        auto call = std::make_shared<ResumeCall>();
        TRY(call->api_key, parse_bearer(request.get("Authorization", "")));
        Poco::URI uri(request.getURI());
        std::vector<std::string> segments;
        uri.getPathSegments(segments);
        call->generation = GenerationId(segments[2]);
        TRY(call->next_offset, parse_next_offset(uri));
        call->token = request.get("Lilactiller-Resume-Token", "");
        this->frontend.gateway.post_resume(call);
        auto decision = call->decisions.take(25h);
        if (!decision)
            return Error { ErrorKind::NotReady, "this host is stopping; try again", 1s };
        if (auto const* refused = std::get_if<Refused>(&*decision))
            return refused->error;
        auto const& token = std::get<Delivery::ResumeToken>(*decision);
        CallerWriter writer(response, { token.generation, token.route, ApiShape::Completion, now_seconds() }, true);
        GenerationSession(this->frontend.gateway, this->frontend.settings, writer).serve_resumed(*call, token);
        return success();
    }
};

class ServiceHandler final : public CallerHandler {
public:
    using CallerHandler::CallerHandler;

private:
    Result<void> serve(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        auto call = std::make_shared<ServiceCall>();
        TRY(call->api_key, parse_bearer(request.get("Authorization", "")));
        TRY(auto deadline, parse_deadline(request.get("Lilactiller-Deadline-Milliseconds", "")));
        call->deadline = deadline.value_or(call->deadline);
        call->id = "call-" + this->frontend.gateway.new_generation_id().value();
        constexpr std::string_view prefix = "/v1/services/";
        auto rest = request.getURI().substr(prefix.size());
        auto slash = rest.find('/');
        call->service = ServiceName(rest.substr(0, slash));
        call->path = slash == std::string::npos ? "/" : rest.substr(slash);
        call->method = request.getMethod();
        call->content_type = request.getContentType();
        call->idempotency_key = request.get("Idempotency-Key", "");
        if (call->idempotency_key.size() > max_idempotency_key_bytes)
            return Error { ErrorKind::InvalidRequest, "the Idempotency-Key is longer than 256 bytes; shorten it", {} };
        TRY(call->body, read_body(request));
        response.set("Lilactiller-Call", call->id);
        ServiceCallSession(this->frontend.gateway, this->frontend.settings).serve(call, response);
        return success();
    }
};

class UnknownPathHandler final : public CallerHandler {
public:
    using CallerHandler::CallerHandler;

private:
    Result<void> serve(HTTPServerRequest&, HTTPServerResponse&) override
    {
        return Error { ErrorKind::UnknownEntity,
            "no such path or method; there are POST /v1/completions, POST /v1/chat/completions, GET "
            "/v1/generations/{id}/stream and /v1/services/{service}/...",
            {} };
    }
};

class ReadyHandler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit ReadyHandler(Node::Node& node)
        : node(node)
    {
    }

    void handleRequest(HTTPServerRequest&, HTTPServerResponse& response) override
    {
        response.setStatusAndReason(
            this->node.is_ready() ? HTTPServerResponse::HTTP_OK : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
        auto reason = this->node.readiness_reason() + '\n';
        response.sendBuffer(reason.data(), reason.size());
    }

private:
    Node::Node& node;
};

class CallerHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit CallerHandlerFactory(Frontend frontend)
        : frontend(frontend)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(HTTPServerRequest const& request) override
    {
        auto path = request.getURI().substr(0, request.getURI().find('?'));
        auto is_post = request.getMethod() == "POST";
        if (is_post && path == "/v1/completions")
            return new GenerationHandler(this->frontend, ApiShape::Completion);
        if (is_post && path == "/v1/chat/completions")
            return new GenerationHandler(this->frontend, ApiShape::Chat);
        if (request.getMethod() == "GET" && path.starts_with("/v1/generations/") && path.ends_with("/stream")
            && std::ranges::count(path, '/') == 4)
            return new ResumeHandler(this->frontend);
        if (path.starts_with("/v1/services/"))
            return new ServiceHandler(this->frontend);
        if (path == "/health/ready")
            return new ReadyHandler(this->frontend.gateway.own_node());
        return new UnknownPathHandler(this->frontend);
    }

private:
    Frontend frontend;
};

static Poco::Net::ServerSocket make_socket(GatewaySettings const& settings)
{
    Poco::Net::SocketAddress address(settings.listen.value());
    if (settings.tls_certificate.empty()) {
        Poco::Net::ServerSocket socket;
        socket.bind(address, true);
        socket.listen(listen_backlog);
        return socket;
    }
    Poco::Net::Context::Ptr context(new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, settings.tls_private_key,
        settings.tls_certificate, "", Poco::Net::Context::VERIFY_NONE));
    context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
    return Poco::Net::SecureServerSocket(address, listen_backlog, context);
}

CallerFrontend::CallerFrontend(GatewayLoop& gateway, GatewaySettings const& settings)
    : threads(2, static_cast<int>(settings.max_open_calls) + spare_threads, 60, thread_stack_bytes)
    , socket(make_socket(settings))
{
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(static_cast<int>(settings.max_open_calls) + spare_threads);
    parameters->setMaxQueued(listen_backlog);
    parameters->setTimeout(Poco::Timespan(caller_timeout_seconds, 0));
    parameters->setKeepAliveTimeout(Poco::Timespan(caller_timeout_seconds, 0));
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new CallerHandlerFactory({ gateway, settings }), this->threads, this->socket, parameters);
    this->server->start();
}

CallerFrontend::~CallerFrontend()
{
    this->server->stopAll(true);
    this->threads.joinAll();
}

void CallerFrontend::stop_accepting()
{
    this->server->stop();
    // An open socket without a server would still accept connections, but never respond. A closed one refuses them.
    this->socket.close();
}

}
