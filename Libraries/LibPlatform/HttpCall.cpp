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

static constexpr size_t largest_body_bytes = 16 * 1024 * 1024;

static Poco::Timespan to_timespan(Duration duration)
{
    return { std::chrono::duration_cast<std::chrono::microseconds>(duration).count() };
}

boost::outcome_v2::basic_result<std::unique_ptr<Poco::Net::HTTPClientSession>, HttpFailure,
    boost::outcome_v2::policy::terminate>
connect_http(Address const& address, Duration patience)
{
    try {
        Poco::Net::SocketAddress socket_address(address.value());
        Poco::Net::StreamSocket socket;
        socket.connect(socket_address, to_timespan(patience));
        socket.setNoDelay(true);
        socket.setReceiveTimeout(to_timespan(patience));
        socket.setSendTimeout(to_timespan(patience));
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        session->setTimeout(to_timespan(patience));
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
        if (body.size() > largest_body_bytes)
            return Error { ErrorKind::BodyTooLarge, "an answer is larger than 16 MiB; ask for less" };
    }
    return body;
}

Poco::Net::HTTPRequest make_http_request(Address const& address, HttpRequest const& question)
{
    Poco::Net::HTTPRequest request(question.method, question.path, Poco::Net::HTTPMessage::HTTP_1_1);
    // The session was given a connected socket and knows no host name.
    request.setHost(address.value());
    request.setKeepAlive(false);
    for (auto const& [name, value] : question.headers)
        request.set(name, value);
    if (!question.body.empty() || question.method != "GET")
        request.setContentLength64(static_cast<Poco::Int64>(question.body.size()));
    return request;
}

HttpResult call_http(Address const& address, HttpRequest const& question, Duration patience)
{
    BOOST_OUTCOME_TRY(auto session, connect_http(address, patience));
    try {
        auto request = make_http_request(address, question);
        session->sendRequest(request) << question.body << std::flush;
        Poco::Net::HTTPResponse response;
        auto& stream = session->receiveResponse(response);
        auto body = read_bounded(stream);
        if (!body)
            return HttpFailure { CallProgress::MayHaveBeenSent, body.error().message };
        // A connection that ends early must not pass for a short answer.
        auto expected = response.getContentLength64();
        if (expected >= 0 && static_cast<size_t>(expected) != body.value().size())
            return HttpFailure { CallProgress::MayHaveBeenSent, "the answer was cut short" };
        HttpResponse answer { static_cast<int>(response.getStatus()), std::move(body.value()), {} };
        for (auto const& [name, value] : response)
            answer.headers.emplace(name, value);
        return answer;
    } catch (Poco::Exception const& exception) {
        return HttpFailure { CallProgress::MayHaveBeenSent, exception.displayText() };
    }
}

}
