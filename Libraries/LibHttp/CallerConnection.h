/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Exchange.h>
#include <boost/asio/steady_timer.hpp>
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
    /// For the rest of a head that has begun to arrive with the request before it.
    Duration header_timeout { 3s };
    /// For the next request on an open connection, and for a body.
    Duration idle_timeout { 15s };
};

/// How far a caller's connection is with its present request.
enum class RequestPhase : u8 {
    /// No byte of the next request has been read.
    BetweenRequests,
    ReadingHead,
    ReadingBody,
    /// A request has been read, and its answer is not complete.
    Answering,
};

/// Why this side closed a caller's connection.
enum class CloseReason : u8 {
    /// No request came for `idle_timeout`, or the rest of a head did not for `header_timeout`.
    Idle,
    /// The process is stopping, and the connection waited for no answer.
    PlannedStop,
};

std::string_view to_string(RequestPhase);
std::string_view to_string(CloseReason);

/// A connection that this side closed although it was neither asked nor bound to. For whoever looks for a lost request.
struct ConnectionClose {
    CloseReason reason;
    /// Of the request that was under way, if one was.
    RequestPhase phase;
    /// Requests that had been taken from this connection before.
    u64 requests_taken;
    /// Since the present phase began.
    Duration waited;
};

/// What a caller's connection needs of the server that accepted it.
struct CallerContext {
    CallerLimits limits {};
    /// While set, every answer closes its connection.
    bool closing { false };
    /// Requests that have been read and not yet been answered to their end.
    size_t open_requests { 0 };
    /// Bytes that may wait for one caller, beside one body of the largest size, before it is cut off.
    static constexpr size_t most_waiting_bytes = 1 << 20;
    std::function<void(std::shared_ptr<Exchange>)> on_request {};
    /// Bytes that were no acceptable request; the text is what the caller was told.
    std::function<void(std::string const& reason)> on_refused_bytes {};
    std::function<void(ConnectionClose const&)> on_closed {};
};

/// One connection of a caller: reads requests one after another and writes their answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(tcp::socket socket, std::shared_ptr<CallerContext> context);
    ~CallerConnection();

    void start() { this->read_head(); }
    /// Closes at once if no request is under way.
    void close_if_idle();

private:
    friend class Exchange;
    using Parser = beast::http::request_parser<beast::http::string_body>;

    void read_head();
    void head_arrived(beast::error_code);
    void body_arrived(beast::error_code);
    void refuse_bytes(beast::error_code);
    void refuse(Status, std::string const& reason);
    [[nodiscard]] bool has_ambiguous_framing() const;
    void deliver();
    void watch_for_leaving();

    void send_answer(Response);
    void send_stream_head(ResponseHead);
    void send_chunk(std::string_view);
    void send_last_chunk();
    void enqueue(std::string bytes);
    void write_next();
    void written(beast::error_code);
    void request_finished();
    void caller_left();
    void close();
    void close_unasked(CloseReason);
    void enter(RequestPhase);
    void set_in_request(bool);

    tcp::socket socket;
    asio::steady_timer timer;
    std::shared_ptr<CallerContext> context;
    beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::weak_ptr<Exchange> exchange;
    std::deque<std::string> outgoing;
    size_t outgoing_bytes { 0 };
    RequestPhase phase { RequestPhase::BetweenRequests };
    Instant phase_began {};
    u64 requests_taken { 0 };
    bool writing { false };
    bool in_request { false };
    bool finish_when_written { false };
    bool keep_alive { true };
    bool watching { false };
};

}
