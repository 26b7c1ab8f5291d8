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

/// Writes one answer to a caller: a stream of events, or one body at the end. The status and headers go out with the
/// first token or the final answer, whichever is first, so that a refusal still has a status of its own.
class CallerWriter {
public:
    CallerWriter(Poco::Net::HTTPServerResponse& response, StreamIdentity identity, bool is_stream);

    /// Headers of the answer; call before the first token.
    void set_header(std::string const& name, std::string const& value) { this->response.set(name, value); }
    /// Says whether the caller is still there.
    bool write_token(std::string const& text, u64 offset, AttemptNumber attempt);
    void finish(u64 token_count);
    void fail(Error const&, Delivery::Outcome, std::optional<u64> next_offset);
    /// Drops the text collected for an answer in one body, when another attempt starts over.
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

/// Sends a typed error as the whole answer, with Retry-After where the error says when to come back.
void send_error(Poco::Net::HTTPServerResponse&, Error const&, Delivery::Outcome);

}
