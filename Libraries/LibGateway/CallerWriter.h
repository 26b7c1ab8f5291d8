/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibGateway/CallerProtocol.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <ostream>
#include <string>

namespace Gateway {

/// Writes the response to a caller: a stream of events, or a single body at the end. The status and headers are sent
/// with the first token or the final response, whichever is first, so that a refusal still has its own status code.
class CallerWriter {
public:
    CallerWriter(Poco::Net::HTTPServerResponse& response, StreamIdentity identity, bool is_stream);

    /// Sets a response header. Must be called before the first token.
    void set_header(std::string const& name, std::string const& value) { this->response.set(name, value); }
    /// Returns whether the caller is still connected.
    bool write_token(std::string const& text, u64 offset, AttemptNumber attempt);
    void finish(u64 token_count);
    void fail(Error const&, Delivery::Outcome, std::optional<u64> next_offset);
    /// Discards the text collected for a single-body response, because another attempt starts from the beginning.
    void start_over() { this->collected.clear(); }

    [[nodiscard]] bool is_stream() const { return this->stream; }
    [[nodiscard]] bool has_begun() const { return this->output != nullptr; }

private:
    void begin_stream();
    bool write_event(std::string const& data);
    void send_body(int status, std::string const& body);

    Poco::Net::HTTPServerResponse& response;
    StreamIdentity identity;
    bool stream;
    std::ostream* output { nullptr };
    std::string collected;
};

/// Sends a typed error as the entire response. Sets Retry-After if the error specifies when to retry.
void send_error(Poco::Net::HTTPServerResponse&, Error const&, Delivery::Outcome);

}
