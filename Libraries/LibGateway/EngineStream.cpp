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
#include <charconv>
#include <sstream>

namespace Gateway {

using Poco::JSON::Object;

static constexpr auto attachment_header = "Lilactiller-Attachment";
static constexpr auto not_started_header = "Lilactiller-Not-Started";
static constexpr auto leaving_reason = "leaving";

EngineStream::EngineStream(Http::tcp::endpoint const& endpoint, Duration timeout)
    : exchange(endpoint, timeout)
{
}

std::variant<std::unique_ptr<EngineStream>, StreamFailure> EngineStream::open(Address const& address,
    std::string const& method, std::string const& path, std::string const& body, Duration timeout)
{
    auto const endpoint = Http::parse_endpoint(address.value());
    if (!endpoint)
        return StreamFailure::NotStarted;
    std::unique_ptr<EngineStream> stream(new EngineStream(*endpoint, timeout));
    if (auto const failure = stream->begin(Platform::to_message(address, { method, path, body, {} })))
        return *failure;
    return stream;
}

std::optional<StreamFailure> EngineStream::begin(Http::Request request)
{
    this->exchange.send(std::move(request));
    if (this->exchange.wait_until([this] { return this->exchange.head.has_value(); }))
        return this->accept(*this->exchange.head);
    auto const& end = this->exchange.how_ended();
    return end && Http::is_not_connected(*end) ? StreamFailure::NotStarted : StreamFailure::Broken;
}

std::optional<StreamFailure> EngineStream::accept(Http::ResponseHead const& head)
{
    auto const not_started = head[not_started_header];
    if (head.result() != Http::Status::ok && not_started == leaving_reason)
        return StreamFailure::Leaving;
    if (head.result() != Http::Status::ok)
        return head.count(not_started_header) > 0 ? StreamFailure::NotStarted : StreamFailure::Unknown;
    auto const attachment = head[attachment_header];
    auto const parsed
        = std::from_chars(attachment.data(), attachment.data() + attachment.size(), this->attachment_number);
    if (!attachment.empty() && parsed.ec != std::errc {})
        return StreamFailure::Broken;
    return {};
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

std::optional<std::string> EngineStream::next_line()
{
    auto& received = this->exchange.body;
    if (!this->exchange.wait_until([&] { return received.find('\n') != std::string::npos; }))
        return {};
    auto const size = received.find('\n');
    auto line = received.substr(0, size);
    received.erase(0, size + 1);
    return line;
}

StreamItem EngineStream::next()
{
    constexpr std::string_view prefix = "data: ";
    while (auto const line = this->next_line()) {
        if (!line->starts_with(prefix))
            continue;
        try {
            auto item = parse_event(line->substr(prefix.size()));
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
