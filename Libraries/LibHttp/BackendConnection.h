/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Traffic.h>
#include <LibHttp/Types.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <functional>
#include <memory>

namespace Http {

/// How an exchange with a backend server ended.
enum class ExchangeEnd : u8 {
    /// The whole response was received.
    Complete,
    /// The connection could not be established. No byte of the request was sent.
    NotConnected,
    /// The same, because the peer had not responded in time.
    ConnectTimedOut,
    /// The connection ended before a whole response head was read. The request may have run.
    NoResponse,
    /// The connection ended within the response body.
    Truncated,
    /// The received bytes are not an HTTP response, or one with a `ResponseFault`. The request may have run.
    Malformed,
    /// The response exceeds a limit on its size. The request may have run.
    TooLarge,
};

std::string_view to_string(ExchangeEnd);
/// Whether no connection could be made, so that the request has not run.
[[nodiscard]] constexpr bool is_not_connected(ExchangeEnd end)
{
    return end == ExchangeEnd::NotConnected || end == ExchangeEnd::ConnectTimedOut;
}
/// Formats how an exchange ended and the given reason, for logs.
std::string describe(ExchangeEnd, std::string const& reason);

/// What to do with a response whose head was received.
enum class HeadAction : u8 {
    Accept,
    /// The response belongs to an earlier request on this connection. Discard it and read the next one.
    Skip,
};

/// A request as it is sent to a backend server. Its body can be shared, so that a large one is held once, however often
/// it is sent.
struct OutgoingRequest {
    /// A request with a body of its own.
    explicit OutgoingRequest(Request);
    OutgoingRequest(RequestHead head, std::shared_ptr<std::string const> body);

    /// Its body refers to `body`.
    beast::http::request<beast::http::span_body<char const>> message;
    std::shared_ptr<std::string const> body;
    /// Fields that do not fit into the message; null for none. They are sent after its own.
    std::shared_ptr<LongFields const> long_fields;
};

/// Callbacks for the parts of a response as they arrive. None is called after `ended` or after cancel().
struct ExchangeObserver {
    std::function<HeadAction(ResponseHead const&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(ExchangeEnd, std::string const& reason)> ended;
};

/// A connection to a backend server that carries one exchange at a time.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
    /// Default maximum size of a response body. Larger ones would not fit into a host's memory beside others.
    static constexpr u64 default_max_body_bytes = 16 << 20;
    /// Maximum size of the body that answers a question or an order of this host itself. A report lists at most the
    /// requests that run at one engine.
    static constexpr u64 max_own_answer_bytes = 256 << 10;

    /// `traffic` counts the bytes of this connection, together with those of others.
    BackendConnection(asio::io_context&, tcp::endpoint, std::shared_ptr<Traffic> traffic = std::make_shared<Traffic>());

    /// Sends `request`, connecting first if necessary, and reports the response to `observer`. Connecting fails after
    /// `connect_timeout`. The connection fails when the peer has acknowledged nothing for `silence_limit`. The response
    /// has no timeout here; the calling code limits the wait with cancel(). Each part of the response has a limit on
    /// its size, so that a peer that sends without end can't use up this host's memory or processor.
    void exchange(OutgoingRequest request, ExchangeObserver observer, Duration connect_timeout, Duration silence_limit,
        u64 max_body_bytes = default_max_body_bytes);
    void exchange(Request request, ExchangeObserver observer, Duration connect_timeout, Duration silence_limit,
        u64 max_body_bytes = default_max_body_bytes)
    {
        this->exchange(
            OutgoingRequest(std::move(request)), std::move(observer), connect_timeout, silence_limit, max_body_bytes);
    }
    /// Ends the exchange and closes the connection, so that the backend server can abandon the request.
    void cancel();
    /// Uses the connection for no further exchange after the current one.
    void retire() { this->is_retired = true; }
    /// Stops reading the response body, so that the backend server has to wait with the rest. What was already received
    /// is still reported.
    void pause() { this->is_paused = true; }
    /// Continues to read the response body.
    void resume();
    /// Whether another request may be sent on this connection: its last response was complete, it has not been idle for
    /// longer than the peer allows, and nothing was received since.
    [[nodiscard]] bool is_reusable();
    /// Whether the connection is not yet established.
    [[nodiscard]] bool is_new() const { return !this->connected; }
    /// Number of requests that were sent on this connection, including the current one.
    [[nodiscard]] u32 request_count() const { return this->requests_sent; }
    /// The time since the end of the last response.
    [[nodiscard]] Duration idle_time() const { return AK::BootClock::now() - this->idle_since; }
    [[nodiscard]] tcp::endpoint const& peer() const { return this->endpoint; }

private:
    using Parser = beast::http::response_parser<beast::http::string_body>;

    /// Maximum size of a response head.
    static constexpr u32 max_head_bytes = 64 << 10;
    static constexpr size_t max_buffered_bytes = 2 * max_head_bytes;

    void connect(Duration timeout, Duration silence_limit);
    void send();
    /// Sends a request whose head holds fields that the message cannot hold.
    void send_with_long_fields();
    void handle_written(beast::error_code, u64 number);
    void read_head();
    void handle_head(beast::error_code);
    void read_body();
    void handle_body(beast::error_code);
    void forward_body();
    /// Whether more was skipped than earlier requests on this connection can have left behind.
    [[nodiscard]] bool has_skipped_too_much() const;
    void finish_response();
    void fail(ExchangeEnd end, beast::error_code error) { this->fail(end, error.message()); }
    void fail(ExchangeEnd, std::string const& reason);
    void finish(ExchangeEnd, std::string const& reason);
    void record_idle_limit(ResponseHead const&);
    void close();

    tcp::socket socket;
    AK::Timer connect_timer;
    tcp::endpoint endpoint;
    std::shared_ptr<Traffic> traffic;
    /// Received bytes that the parser has not consumed: at most a head, or a line between two chunks of a body.
    beast::flat_buffer buffer { max_buffered_bytes };
    /// The request that is being sent; given back once it has been written.
    std::optional<OutgoingRequest> request;
    std::optional<beast::http::serializer<true, beast::http::span_body<char const>>> serializer;
    /// The head of a request with long fields, while it is being sent.
    std::string head_text;
    std::optional<Parser> parser;
    /// Shared, so that the observer outlives its own call when that call cancels the exchange.
    std::shared_ptr<ExchangeObserver> observer;
    bool connected { false };
    u32 requests_sent { 0 };
    bool in_exchange { false };
    bool skipping { false };
    /// Responses of this exchange that were skipped, and the bytes of their bodies.
    u32 skipped_responses { 0 };
    u64 skipped_bytes { 0 };
    u64 max_body_bytes { default_max_body_bytes };
    /// Whatever its head says, a response to HEAD has no body.
    bool response_has_no_body { false };
    bool request_written { false };
    /// The connection failed before the whole request was sent, so that its end is no end of a response without a
    /// length.
    bool write_failed { false };
    bool response_allows_reuse { false };
    bool is_retired { false };
    bool is_paused { false };
    /// The next read of the body was left out because of a pause.
    bool has_unread_body { false };
    Instant idle_until {};
    Instant idle_since {};
    /// Distinguishes callbacks of a cancelled exchange from those of the current one.
    u64 exchange_number { 0 };
};

}
