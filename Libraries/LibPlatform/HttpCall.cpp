/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/BlockingExchange.h>
#include <LibPlatform/HttpCall.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <stdexcept>

namespace Platform {

static Poco::Timespan to_timespan(Duration duration)
{
    return { std::chrono::duration_cast<std::chrono::microseconds>(duration).count() };
}

boost::outcome_v2::basic_result<std::unique_ptr<Poco::Net::HTTPClientSession>, HttpFailure,
    boost::outcome_v2::policy::terminate>
connect_http(Address const& address, Duration timeout)
{
    try {
        Poco::Net::SocketAddress socket_address(address.value());
        Poco::Net::StreamSocket socket;
        socket.connect(socket_address, to_timespan(timeout));
        socket.setNoDelay(true);
        socket.setReceiveTimeout(to_timespan(timeout));
        socket.setSendTimeout(to_timespan(timeout));
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        session->setTimeout(to_timespan(timeout));
        session->setKeepAlive(false);
        return session;
    } catch (Poco::Exception const& exception) {
        return HttpFailure { CallProgress::NothingSent, exception.displayText() };
    }
}

Poco::Net::HTTPRequest make_http_request(Address const& address, HttpRequest const& call)
{
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    // The session was created from a connected socket and does not know the host name.
    request.setHost(address.value());
    request.setKeepAlive(false);
    for (auto const& [name, value] : call.headers)
        request.set(name, value);
    if (!call.body.empty() || call.method != "GET")
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    return request;
}

Http::Request to_message(Address const& address, HttpRequest const& call)
{
    Http::Request request;
    request.method_string(call.method);
    request.target(call.path);
    request.version(Http::http_1_1);
    request.set(Http::Name::host, address.value());
    for (auto const& [name, value] : call.headers)
        request.set(name, value);
    request.keep_alive(false);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

static HttpResponse to_response(BlockingExchange& exchange)
{
    HttpResponse response { static_cast<int>(exchange.head->result_int()), std::move(exchange.body), {} };
    for (auto const& field : *exchange.head)
        response.headers.emplace(field.name_string(), field.value());
    return response;
}

static HttpResult run(BlockingExchange& exchange, Http::Request request)
{
    exchange.send(std::move(request));
    if (!exchange.wait_until([&] { return exchange.has_ended(); }))
        return HttpFailure { CallProgress::MayHaveBeenSent, "no response in time" };
    auto const end = *exchange.how_ended();
    if (end == Http::ExchangeEnd::Complete)
        return to_response(exchange);
    auto const progress = Http::is_not_connected(end) ? CallProgress::NothingSent : CallProgress::MayHaveBeenSent;
    return HttpFailure { progress, Http::describe(end, exchange.end_reason()) };
}

HttpResult call_http(Address const& address, HttpRequest const& call, Duration timeout)
{
    auto const endpoint = Http::parse_endpoint(address.value());
    if (!endpoint)
        return HttpFailure { CallProgress::NothingSent, address.value() + " is no address; use ip:port" };
    try {
        BlockingExchange exchange(*endpoint, timeout);
        return run(exchange, to_message(address, call));
    } catch (std::length_error const&) {
        return HttpFailure { CallProgress::NothingSent, "a field of the request is too large; send a shorter one" };
    }
}

}
