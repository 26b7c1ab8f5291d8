/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Types.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <functional>
#include <memory>

namespace Http {

/// How an exchange with a backend server ended.
enum class ExchangeEnd : u8 {
    /// The whole answer is here.
    Complete,
    /// The connection could not be made; no byte of the request left.
    NotConnected,
    /// The connection ended before a whole answer head was read. The request may have run.
    NoResponse,
    /// The answer broke off in its body.
    Truncated,
    /// What came is no HTTP answer.
    Malformed,
};

std::string_view to_string(ExchangeEnd);
/// For logs: how an exchange ended, and the reason that was given.
std::string describe(ExchangeEnd, std::string const& reason);

/// What to do with an answer whose head has arrived.
enum class HeadAction : u8 {
    Accept,
    /// It belongs to an earlier request on this connection; read on until the next answer.
    Skip,
};

/// Called as an answer arrives. Nothing is called after `ended`, or after cancel().
struct ExchangeObserver {
    std::function<HeadAction(ResponseHead const&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(ExchangeEnd, std::string const& reason)> ended;
};

/// One connection to a backend server; one exchange at a time.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
    BackendConnection(asio::io_context&, tcp::endpoint);

    /// Sends `request`, connecting first if need be, and reports the answer to `observer`. Connecting may take
    /// `connect_timeout`; the connection dies when the peer has acknowledged nothing for `silence_limit`. The caller
    /// bounds the wait for the answer itself, with cancel().
    void exchange(Request request, ExchangeObserver observer, Duration connect_timeout, Duration silence_limit);
    /// Ends the exchange and closes the connection, so that the backend server can drop the request.
    void cancel();
    /// Whether another request may be sent on this connection: its last answer was whole, it has not been idle for
    /// longer than the peer allows, and nothing has arrived on it since.
    [[nodiscard]] bool is_reusable();
    /// Whether it has yet to be connected.
    [[nodiscard]] bool is_new() const { return !this->connected; }
    /// Since the end of its last answer.
    [[nodiscard]] Duration idle_time() const { return AK::BootClock::now() - this->idle_since; }
    [[nodiscard]] tcp::endpoint const& peer() const { return this->endpoint; }

private:
    using Parser = beast::http::response_parser<beast::http::string_body>;

    void connect(Duration patience, Duration silence_limit);
    void send();
    void read_head();
    void handle_head(beast::error_code);
    void read_body();
    void handle_body(beast::error_code);
    void forward_body();
    void finish_response();
    void fail(ExchangeEnd, beast::error_code);
    void finish(ExchangeEnd, std::string const& reason);
    void record_idle_limit(ResponseHead const&);
    void close();

    tcp::socket socket;
    AK::Timer connect_timer;
    tcp::endpoint endpoint;
    beast::flat_buffer buffer;
    Request request;
    std::optional<beast::http::serializer<true, beast::http::string_body>> serializer;
    std::optional<Parser> parser;
    /// Shared, so that an observer that cancels the exchange outlives its own call.
    std::shared_ptr<ExchangeObserver> observer;
    bool connected { false };
    bool in_exchange { false };
    bool skipping { false };
    bool request_written { false };
    bool response_allows_reuse { false };
    Instant idle_until {};
    Instant idle_since {};
    /// Tells callbacks of an exchange that was cancelled from those of the current one.
    u64 exchange_number { 0 };
};

}
