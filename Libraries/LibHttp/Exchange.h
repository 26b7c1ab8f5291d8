/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <LibOverload/RequestBudget.h>
#include <functional>
#include <memory>

namespace Http {

class CallerConnection;

/// Who sent a request to this host.
enum class RequestOrigin : u8 {
    Caller,
    /// Another host, which forwards the request of its caller.
    Host,
};

/// Field with the value "1" in a response to another host: by its own account, the responding host knows that the
/// request has not run and will not run. A host never relays the field from a backend server or to a caller.
inline constexpr auto not_run_field = "Request-Not-Run";

/// A caller's request and its response. Calls after the response is complete, or after the caller has disconnected, do
/// nothing.
class Exchange {
public:
    /// `charge`: for the memory of the request, which the exchange holds.
    Exchange(std::shared_ptr<CallerConnection> connection, Request request, LongFields long_fields,
        Overload::RequestCharge charge, Instant received, RequestOrigin);

    [[nodiscard]] Request const& request() const { return this->received_request; }
    /// The fields of the request that do not fit into its `Fields`.
    [[nodiscard]] LongFields const& long_fields() const { return this->received_long_fields; }
    [[nodiscard]] RequestOrigin origin() const { return this->sent_by; }
    [[nodiscard]] Instant received_at() const { return this->received; }
    /// Whether the caller is still waiting for the response or the rest of it.
    [[nodiscard]] bool is_open() const { return this->connection != nullptr; }
    [[nodiscard]] bool is_streaming() const { return this->streaming; }

    /// Sets a handler that is called once if the caller disconnects before its response is complete.
    void on_caller_disconnected(std::function<void()> observer) { this->caller_disconnected = std::move(observer); }

    /// Sends a complete response.
    void respond(Response);
    /// Starts a response with a chunked body.
    void begin_stream(ResponseHead const&);
    void send_chunk(std::string_view);
    /// Whether the caller has to read some of what was sent before more is sent. Only an open stream can be paused.
    [[nodiscard]] bool must_pause() const;
    /// Calls `on_read` once, when the caller has read enough for more to be sent.
    void wait_until_read(std::function<void()> on_read);
    /// Ends the chunked body and completes the response.
    void end_stream();
    /// Closes the connection, so that the response does not look complete.
    void abort();

private:
    friend class CallerConnection;
    void connection_lost();
    void caller_has_read();
    std::shared_ptr<CallerConnection> release_connection();

    std::shared_ptr<CallerConnection> connection;
    Request received_request;
    LongFields received_long_fields;
    Overload::RequestCharge charge;
    Instant received;
    RequestOrigin sent_by;
    bool streaming { false };
    std::function<void()> caller_disconnected;
    std::function<void()> on_read;
};

}
