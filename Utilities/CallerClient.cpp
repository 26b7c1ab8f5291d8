/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "CallerClient.h"
#include <LibPlatform/HttpCall.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <ostream>
#include <sstream>
#include <thread>

using Poco::JSON::Object;

static constexpr Duration response_timeout = 30s;
static constexpr Duration readiness_timeout = 1s;
static constexpr u32 max_resumes = 20;
static constexpr Duration resume_backoff = 100ms;

CallerClient::CallerClient(std::vector<Address> gateways, std::string api_key)
    : gateways(std::move(gateways))
    , api_key(std::move(api_key))
{
}

static std::string to_text(Object const& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

size_t CallerClient::ready_gateway(size_t first) const
{
    for (size_t i = 0; i < this->gateways.size(); ++i) {
        auto const& gateway = this->gateways[(first + i) % this->gateways.size()];
        auto response = Platform::call_http(gateway, { "GET", "/health/ready", {}, {} }, readiness_timeout);
        if (response && response.value().status == Poco::Net::HTTPResponse::HTTP_OK)
            return first + i;
    }
    return first;
}

bool CallerClient::read_event(Progress& progress, std::string const& data, OnToken const& on_token)
{
    Poco::JSON::Parser parser;
    auto object = parser.parse(data).extract<Object::Ptr>();
    auto extension = object->getObject("lilactiller");
    auto& result = progress.result;
    if (extension && extension->has("outcome")) {
        result.outcome = extension->getValue<std::string>("outcome");
        if (auto error = object->getObject("error"))
            result.error = error->getValue<std::string>("type");
        return true;
    }
    auto now = AK::BootClock::now();
    if (result.tokens.empty())
        result.stall = now - progress.requested_at;
    else
        result.gaps.push_back(now - progress.last_token_at);
    progress.last_token_at = now;
    result.offsets.push_back(extension->getValue<Poco::UInt64>("offset"));
    result.tokens.push_back(object->getArray("choices")->getObject(0)->getValue<std::string>("text"));
    if (on_token)
        on_token(result.tokens.back());
    return false;
}

bool CallerClient::read_stream(Progress& progress, std::istream& stream, OnToken const& on_token)
{
    constexpr std::string_view prefix = "data: ";
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with(prefix) && this->read_event(progress, line.substr(prefix.size()), on_token))
            return true;
    }
    return false;
}

bool CallerClient::connect_and_read(Progress& progress, Address const& gateway, std::string const& method,
    std::string const& path, std::string const& body, Duration deadline, OnToken const& on_token)
{
    auto& result = progress.result;
    auto connected = Platform::connect_http(gateway, response_timeout);
    if (!connected) {
        result.error = "connection_refused";
        return false;
    }
    result.error.clear();
    auto& session = *connected.value();
    try {
        auto request = Platform::make_http_request(gateway, { method, path, body, {} });
        request.set("Authorization", "Bearer " + this->api_key);
        request.set("Lilactiller-Resume-Token", progress.resume_token);
        request.set("Lilactiller-Deadline-Milliseconds", std::to_string(AK::to_milliseconds(deadline)));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        result.status = response.getStatus();
        result.generation = response.get("Lilactiller-Generation", result.generation);
        result.had_retry_after = response.has("Retry-After");
        progress.resume_token = response.get("Lilactiller-Resume-Token", progress.resume_token);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK)
            return this->read_stream(progress, stream, on_token);
        std::string error;
        std::getline(stream, error);
        return this->read_event(progress, error, on_token);
    } catch (Poco::Exception const&) {
        return false;
    }
}

GenerationResult CallerClient::generate(size_t first_gateway, std::string const& route, std::string const& prompt,
    Duration deadline, OnToken const& on_token)
{
    Object body;
    body.set("model", route);
    body.set("prompt", prompt);
    body.set("stream", true);
    Progress progress;
    first_gateway = this->ready_gateway(first_gateway);
    auto const& first = this->gateways[first_gateway % this->gateways.size()];
    progress.requested_at = AK::BootClock::now();
    if (this->connect_and_read(progress, first, "POST", "/v1/completions", to_text(body), deadline, on_token))
        return progress.result;
    // The connection broke. Without a resume token no tokens were delivered, and the generation cannot be resumed.
    while (!progress.resume_token.empty() && progress.result.resumes < max_resumes) {
        std::this_thread::sleep_for(resume_backoff);
        auto const& next = this->gateways[(first_gateway + ++progress.result.resumes) % this->gateways.size()];
        auto path = "/v1/generations/" + progress.result.generation
            + "/stream?next_offset=" + std::to_string(progress.result.tokens.size());
        if (this->connect_and_read(progress, next, "GET", path, "", deadline, on_token))
            break;
    }
    return progress.result;
}

CallResult CallerClient::call_service(size_t gateway, std::string const& method, std::string const& path,
    std::string const& idempotency_key, std::string const& body)
{
    Platform::HttpRequest request { method, path, body, { { "Authorization", "Bearer " + this->api_key } } };
    if (!idempotency_key.empty())
        request.headers["Idempotency-Key"] = idempotency_key;
    auto const& chosen = this->gateways[this->ready_gateway(gateway) % this->gateways.size()];
    auto response = Platform::call_http(chosen, request, response_timeout);
    if (!response)
        return {};
    auto header = [&](char const* name) {
        auto found = response.value().headers.find(name);
        return found == response.value().headers.end() ? std::string() : found->second;
    };
    return { header("Lilactiller-Call"), header("Lilactiller-Outcome"), response.value().status,
        response.value().body };
}
