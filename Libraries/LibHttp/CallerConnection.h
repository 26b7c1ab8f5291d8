/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/ConnectionPhase.h>
#include <LibHttp/Exchange.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>

namespace Http {

/// Bounds on what a caller may send and on how long it may take.
struct CallerLimits {
    /// Of a request's line and fields together; beyond it the answer is 431.
    u32 header_bytes { 16'384 };
    /// Beyond it the answer is 413.
    u64 body_bytes { 4'194'304 };
    /// For the rest of a head that has begun to arrive.
    Duration header_timeout { 3s };
    /// For the next request on an open connection, and for a body.
    Duration idle_timeout { 15s };
};

/// What a caller's connection needs of the server that accepted it.
struct CallerContext {
    CallerLimits limits {};
    /// While set, every answer closes its connection.
    bool closing { false };
    /// Requests that have begun to arrive and not yet been answered to their end.
    size_t open_requests { 0 };
    /// Bytes that may wait for one caller, beside one body of the largest size, before it is cut off.
    static constexpr size_t max_pending_bytes = 1 << 20;
    std::function<void(std::shared_ptr<Exchange>)> on_request {};
    /// Bytes that were no acceptable request; the text is what the caller was told.
    std::function<void(std::string const& reason)> on_rejected_request {};
    std::function<void(ConnectionClose const&)> on_closed {};
};

/// One connection of a caller: reads requests one after another and writes their answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(tcp::socket socket, std::shared_ptr<CallerContext> context);
    ~CallerConnection();

    void start() { this->await_request(); }
    /// Closes at once if no request is under way and none waits in the socket.
    void close_if_idle(CloseReason);
    [[nodiscard]] bool is_open() const { return this->phase != ConnectionPhase::Closed; }

private:
    friend class Exchange;
    using Parser = beast::http::request_parser<beast::http::string_body>;

    void await_request();
    void watch_socket();
    void handle_readable();
    void check_for_disconnect();
    void read_head();
    void handle_head(beast::error_code);
    void read_body();
    void handle_body(beast::error_code);
    void reject_unreadable_request(beast::error_code);
    void reject(Status, std::string const& reason);
    [[nodiscard]] bool has_ambiguous_framing() const;
    void deliver();

    /// Calls `overdue` after `patience`, unless the phase has changed or the timer has been set anew by then.
    void set_timer(Duration patience, void (CallerConnection::*overdue)());
    void handle_idle_timeout();
    void handle_head_timeout();
    void handle_body_timeout();

    /// Says in an answer's head whether the connection can be used again, and until when.
    void advertise_keep_alive(ResponseHead&);
    void send_response(Response);
    void send_stream_head(ResponseHead);
    void send_chunk(std::string_view);
    void send_last_chunk();
    void enqueue(std::string bytes);
    void write_next();
    void written(beast::error_code);
    void request_finished();
    /// The one way in which a connection ends. Whoever works on its request is told.
    void close(CloseReason);
    void enter(ConnectionPhase);

    tcp::socket socket;
    AK::Timer timer;
    std::shared_ptr<CallerContext> context;
    /// As the caller was told with the last answer.
    Duration advertised_idle_timeout;
    beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::weak_ptr<Exchange> exchange;
    std::deque<std::string> outgoing;
    size_t outgoing_bytes { 0 };
    ConnectionPhase phase { ConnectionPhase::BetweenRequests };
    Instant phase_began {};
    u64 requests_accepted { 0 };
    bool writing { false };
    bool finish_when_written { false };
    bool keep_alive { true };
    bool watching { false };
};

}
