/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerProtocol.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <charconv>
#include <sstream>
#include <xxhash.h>

namespace Gateway {

using Poco::JSON::Array;
using Poco::JSON::Object;

static constexpr size_t prefix_bytes = 256;
static constexpr size_t bytes_per_token = 4;
static constexpr u64 max_deadline_milliseconds = 24ull * 60 * 60 * 1000;
static constexpr int max_json_depth = 32;

static Error invalid(std::string message) { return { ErrorKind::InvalidRequest, std::move(message), {} }; }

static std::string to_text(Object const& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

/// Joins all messages into the prompt for the engine, one line per message with its role.
static Result<std::string> join_messages(Object const& object)
{
    auto messages = object.getArray("messages");
    if (!messages || messages->size() == 0)
        return invalid("'messages' is missing or empty; send a list of {role, content}");
    std::string prompt;
    for (unsigned i = 0; i < messages->size(); ++i) {
        auto message = messages->getObject(i);
        if (!message || !message->get("content").isString())
            return invalid("each message needs a 'content' that is a text");
        prompt
            += message->optValue<std::string>("role", "user") + ": " + message->getValue<std::string>("content") + '\n';
    }
    return prompt;
}

static Result<std::string> read_prompt(ApiShape shape, Object const& object)
{
    if (shape == ApiShape::Chat)
        return join_messages(object);
    if (!object.has("prompt") || !object.get("prompt").isString())
        return invalid("'prompt' is missing or not a text");
    return object.getValue<std::string>("prompt");
}

static Result<std::optional<u64>> read_maximum(Object const& object)
{
    for (auto const* key : { "max_completion_tokens", "max_tokens" }) {
        if (!object.has(key) || object.isNull(key))
            continue;
        auto value = object.get(key);
        if (!value.isInteger() || value.convert<Poco::Int64>() < 1)
            return invalid(std::string("'") + key + "' must be a whole number of at least 1");
        return std::optional(value.convert<u64>());
    }
    return std::optional<u64>();
}

static Result<GenerationRequest> read_request(ApiShape shape, Object const& object)
{
    GenerationRequest request;
    request.shape = shape;
    if (!object.has("model") || !object.get("model").isString())
        return invalid("'model' is missing or not a text; name a route of your organisation");
    request.route = RouteName(object.getValue<std::string>("model"));
    TRY(request.prompt, read_prompt(shape, object));
    if (request.prompt.empty())
        return invalid("the prompt is empty; send at least one character");
    TRY(request.maximum_output_tokens, read_maximum(object));
    if (object.has("stream") && !object.get("stream").isBoolean())
        return invalid("'stream' must be true or false");
    request.stream = object.optValue<bool>("stream", false);
    return request;
}

Result<GenerationRequest> parse_generation_request(ApiShape shape, std::string const& body)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(max_json_depth);
        auto value = parser.parse(body);
        if (value.type() != typeid(Object::Ptr))
            return invalid("the body must be a JSON object");
        return read_request(shape, *value.extract<Object::Ptr>());
    } catch (Poco::Exception const& exception) {
        return invalid("the body is not JSON that can be read (" + exception.displayText() + "); send one object");
    } catch (std::exception const&) {
        return invalid("the body is not JSON that can be read; send one object");
    }
}

Result<std::optional<Duration>> parse_deadline(std::string const& header)
{
    if (header.empty())
        return std::optional<Duration>();
    u64 milliseconds = 0;
    auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), milliseconds);
    if (error != std::errc() || end != header.data() + header.size() || milliseconds == 0
        || milliseconds > max_deadline_milliseconds)
        return invalid("Lilactiller-Deadline-Milliseconds must be a whole number from 1 to 86400000");
    return std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

Result<std::string> parse_bearer(std::string const& header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (header.starts_with(scheme) && header.size() > scheme.size())
        return header.substr(scheme.size());
    return Error { ErrorKind::Unauthenticated, "send your API key as 'Authorization: Bearer <key>'", {} };
}

TokenCount estimate_tokens(std::string const& text)
{
    return TokenCount(static_cast<i64>(text.size() / bytes_per_token + 1));
}

u64 salted_prefix_hash(OrganisationId const& organisation, std::string const& prompt)
{
    auto salt = XXH64(organisation.value().data(), organisation.value().size(), 0);
    return XXH64(prompt.data(), std::min(prompt.size(), prefix_bytes), salt);
}

int http_status(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidRequest:
    case ErrorKind::InvalidSettings:
        return 400;
    case ErrorKind::Unauthenticated:
        return 401;
    case ErrorKind::Forbidden:
    case ErrorKind::FencedOut:
        return 403;
    case ErrorKind::UnknownRoute:
    case ErrorKind::UnknownEntity:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::BodyTooLarge:
        return 413;
    case ErrorKind::OverLimit:
        return 429;
    case ErrorKind::BackendServerFailed:
    case ErrorKind::GenerationLost:
        return 502;
    case ErrorKind::Overloaded:
    case ErrorKind::DeadlineUnreachable:
    case ErrorKind::NoBackendServer:
    case ErrorKind::Leaving:
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::PlatformAnswerLost:
    case ErrorKind::PeerUnavailable:
    case ErrorKind::NotReady:
    case ErrorKind::HistoryLost:
    case ErrorKind::RequestQuarantined:
        return 503;
    }
    return 500;
}

static Object envelope(StreamIdentity const& identity, bool is_chunk)
{
    Object object;
    object.set("id", identity.generation.value());
    auto is_chat = identity.shape == ApiShape::Chat;
    object.set("object", is_chat ? (is_chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion");
    object.set("created", static_cast<Poco::UInt64>(identity.created_seconds));
    object.set("model", identity.route.value());
    return object;
}

static void set_choice(
    Object& object, StreamIdentity const& identity, std::string const& text, bool is_chunk, bool is_end)
{
    Object choice;
    choice.set("index", 0);
    if (identity.shape == ApiShape::Chat) {
        Object content;
        if (!is_chunk)
            content.set("role", "assistant");
        if (!is_chunk || !is_end)
            content.set("content", text);
        choice.set(is_chunk ? "delta" : "message", content);
    } else {
        choice.set("text", text);
    }
    choice.set("finish_reason", is_end ? Poco::Dynamic::Var("stop") : Poco::Dynamic::Var());
    Array choices;
    choices.add(choice);
    object.set("choices", choices);
}

std::string format_token(StreamIdentity const& identity, std::string const& text, u64 offset, AttemptNumber attempt)
{
    auto object = envelope(identity, true);
    set_choice(object, identity, text, true, false);
    Object extension;
    extension.set("offset", static_cast<Poco::UInt64>(offset));
    extension.set("attempt", attempt.value());
    object.set("lilactiller", extension);
    return to_text(object);
}

static Object usage(u64 token_count)
{
    Object usage;
    usage.set("completion_tokens", static_cast<Poco::UInt64>(token_count));
    return usage;
}

static Object completed_extension()
{
    Object extension;
    extension.set("outcome", std::string(Delivery::to_string(Delivery::Outcome::Completed)));
    return extension;
}

std::string format_stream_end(StreamIdentity const& identity, u64 token_count)
{
    auto object = envelope(identity, true);
    set_choice(object, identity, "", true, true);
    object.set("usage", usage(token_count));
    object.set("lilactiller", completed_extension());
    return to_text(object);
}

std::string format_complete_response(StreamIdentity const& identity, std::string const& text, u64 token_count)
{
    auto object = envelope(identity, false);
    set_choice(object, identity, text, false, true);
    object.set("usage", usage(token_count));
    object.set("lilactiller", completed_extension());
    return to_text(object);
}

std::string format_error(Error const& error, Delivery::Outcome outcome, std::optional<u64> next_offset)
{
    Object detail;
    detail.set("type", std::string(to_string(error.kind)));
    detail.set("message", error.message);
    if (error.retry_after)
        detail.set("retry_after_milliseconds", static_cast<Poco::Int64>(AK::to_milliseconds(*error.retry_after)));
    Object extension;
    extension.set("outcome", std::string(Delivery::to_string(outcome)));
    if (next_offset)
        extension.set("next_offset", static_cast<Poco::UInt64>(*next_offset));
    Object object;
    object.set("error", detail);
    object.set("lilactiller", extension);
    return to_text(object);
}

}
