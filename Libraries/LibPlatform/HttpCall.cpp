/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpCall.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <istream>
#include <ostream>

namespace Platform {

static constexpr size_t max_body_bytes = 16 * 1024 * 1024;

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

static Result<std::string> read_bounded(std::istream& stream)
{
    std::string body;
    char buffer[16384];
    while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
        body.append(buffer, static_cast<size_t>(stream.gcount()));
        if (body.size() > max_body_bytes)
            return Error { ErrorKind::BodyTooLarge, "a response is larger than 16 MiB; request less" };
    }
    return body;
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

HttpResult call_http(Address const& address, HttpRequest const& call, Duration timeout)
{
    BOOST_OUTCOME_TRY(auto session, connect_http(address, timeout));
    try {
        auto request = make_http_request(address, call);
        session->sendRequest(request) << call.body << std::flush;
        Poco::Net::HTTPResponse response;
        auto& stream = session->receiveResponse(response);
        auto body = read_bounded(stream);
        if (!body)
            return HttpFailure { CallProgress::MayHaveBeenSent, body.error().message };
        // A connection that closes early must not be mistaken for a short response.
        auto expected = response.getContentLength64();
        if (expected >= 0 && static_cast<size_t>(expected) != body.value().size())
            return HttpFailure { CallProgress::MayHaveBeenSent, "the response is truncated" };
        HttpResponse result { static_cast<int>(response.getStatus()), std::move(body.value()), {} };
        for (auto const& [name, value] : response)
            result.headers.emplace(name, value);
        return result;
    } catch (Poco::Exception const& exception) {
        return HttpFailure { CallProgress::MayHaveBeenSent, exception.displayText() };
    }
}

}
