/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerWriter.h>
#include <Poco/Net/HTTPResponse.h>

namespace Gateway {

using Poco::Net::HTTPResponse;

static constexpr auto outcome_header = "Lilactiller-Outcome";

static void set_error_headers(Poco::Net::HTTPServerResponse& response, Error const& error, Delivery::Outcome outcome)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(http_status(error.kind)));
    response.setContentType("application/json");
    response.set(outcome_header, std::string(Delivery::to_string(outcome)));
    if (error.retry_after)
        // Retry-After is in seconds. Rounded up, so that callers do not retry too early.
        response.set(
            "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count()));
}

void send_error(Poco::Net::HTTPServerResponse& response, Error const& error, Delivery::Outcome outcome)
{
    set_error_headers(response, error, outcome);
    auto body = format_error(error, outcome);
    response.sendBuffer(body.data(), body.size());
}

CallerWriter::CallerWriter(Poco::Net::HTTPServerResponse& response, StreamIdentity identity, bool is_stream)
    : response(response)
    , identity(std::move(identity))
    , stream(is_stream)
{
}

void CallerWriter::begin_stream()
{
    this->response.setContentType("text/event-stream");
    this->response.set("Cache-Control", "no-cache");
    this->response.setChunkedTransferEncoding(true);
    this->output = &this->response.send();
}

bool CallerWriter::write_event(std::string const& data)
{
    *this->output << "data: " << data << "\n\n" << std::flush;
    return this->output->good();
}

bool CallerWriter::write_token(std::string const& text, u64 offset, AttemptNumber attempt)
{
    if (!this->stream) {
        this->collected += text;
        return true;
    }
    if (!this->output)
        this->begin_stream();
    return this->write_event(format_token(this->identity, text, offset, attempt));
}

void CallerWriter::send_body(int status, std::string const& body)
{
    this->response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    this->response.setContentType("application/json");
    this->response.sendBuffer(body.data(), body.size());
}

void CallerWriter::finish(u64 token_count)
{
    if (!this->stream) {
        this->response.set(outcome_header, std::string(Delivery::to_string(Delivery::Outcome::Completed)));
        this->send_body(HTTPResponse::HTTP_OK, format_complete_response(this->identity, this->collected, token_count));
        return;
    }
    if (!this->output)
        this->begin_stream();
    this->write_event(format_stream_end(this->identity, token_count));
    this->write_event("[DONE]");
}

void CallerWriter::fail(Error const& error, Delivery::Outcome outcome, std::optional<u64> next_offset)
{
    if (this->output) {
        this->write_event(format_error(error, outcome, next_offset));
        return;
    }
    set_error_headers(this->response, error, outcome);
    auto body = format_error(error, outcome, next_offset);
    this->response.sendBuffer(body.data(), body.size());
}

}
