/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/EngineStream.h>
#include <LibPlatform/HttpCall.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <sstream>

namespace Gateway {

using Poco::JSON::Object;

static constexpr auto attachment_header = "Lilactiller-Attachment";
static constexpr auto not_started_header = "Lilactiller-Not-Started";
static constexpr auto leaving_reason = "leaving";

std::variant<std::unique_ptr<EngineStream>, StreamFailure> EngineStream::open(Address const& address,
    std::string const& method, std::string const& path, std::string const& body, Duration timeout)
{
    auto connected = Platform::connect_http(address, timeout);
    if (!connected)
        return StreamFailure::NotStarted;
    std::unique_ptr<EngineStream> stream(new EngineStream);
    stream->session = std::move(connected.value());
    try {
        auto request = Platform::make_http_request(address, { method, path, body, {} });
        stream->session->sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        stream->input = &stream->session->receiveResponse(response);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
            stream->attachment_number = std::stoull(response.get(attachment_header, "0"));
            return stream;
        }
        if (response.get(not_started_header, "") == leaving_reason)
            return StreamFailure::Leaving;
        if (response.has(not_started_header))
            return StreamFailure::NotStarted;
        return StreamFailure::Unknown;
    } catch (Poco::Exception const&) {
        return StreamFailure::Broken;
    } catch (std::exception const&) {
        return StreamFailure::Broken;
    }
}

std::variant<std::unique_ptr<EngineStream>, StreamFailure> EngineStream::start(
    Address const& address, EngineStart const& start, Duration timeout)
{
    Object body;
    body.set("generation", start.generation.value());
    body.set("attempt", start.attempt.value());
    body.set("model", start.model);
    body.set("adapter", start.adapter);
    body.set("prompt", start.prompt);
    body.set("maximum_output_tokens", static_cast<Poco::UInt64>(start.maximum_output_tokens));
    body.set("priority", start.priority);
    body.set("prefix_hash", static_cast<Poco::UInt64>(start.prefix_hash));
    std::ostringstream text;
    body.stringify(text);
    return open(address, "POST", "/v1/generations", text.str(), timeout);
}

std::variant<std::unique_ptr<EngineStream>, StreamFailure> EngineStream::resume(
    Address const& address, GenerationId const& generation, AttemptNumber attempt, u64 next_offset, Duration timeout)
{
    auto path = "/v1/generations/" + generation.value() + "/stream?next_offset=" + std::to_string(next_offset)
        + "&attempt=" + std::to_string(attempt.value());
    return open(address, "GET", path, "", timeout);
}

static std::optional<StreamItem> parse_event(std::string const& data)
{
    Poco::JSON::Parser parser;
    auto object = parser.parse(data).extract<Object::Ptr>();
    if (object->has("total"))
        return EngineFinished { object->getValue<Poco::UInt64>("total") };
    if (object->has("error"))
        return StreamFailure::Unknown;
    return EngineToken { AttemptNumber(object->getValue<Poco::UInt32>("attempt")),
        object->getValue<std::string>("execution"), object->getValue<Poco::UInt64>("offset"),
        object->getValue<std::string>("token") };
}

StreamItem EngineStream::next()
{
    constexpr std::string_view prefix = "data: ";
    std::string line;
    // Poco's streams report a timeout in the same way as the end of the connection.
    while (std::getline(*this->input, line)) {
        if (!line.starts_with(prefix))
            continue;
        try {
            auto item = parse_event(line.substr(prefix.size()));
            if (item)
                return *item;
        } catch (Poco::Exception const&) {
            // The line is truncated. The caller of next() resumes from the last complete token.
            return StreamFailure::Broken;
        }
    }
    return StreamFailure::Broken;
}

void cancel_on_engine(Address const& address, GenerationId const& generation, AttemptNumber attempt,
    std::optional<u64> attachment, Duration timeout)
{
    auto path = "/v1/generations/" + generation.value() + "?attempt=" + std::to_string(attempt.value());
    if (attachment)
        path += "&attachment=" + std::to_string(*attachment);
    (void)Platform::call_http(address, { "DELETE", path, {}, {} }, timeout);
}

}
