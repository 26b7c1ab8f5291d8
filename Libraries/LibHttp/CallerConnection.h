/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/ConnectionPhase.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/RequestParser.h>
#include <LibHttp/Traffic.h>
#include <LibOverload/OutputBudget.h>
#include <LibOverload/ReceiveProgress.h>
#include <LibOverload/RequestBudget.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>

namespace Http {

/// Limits on the size of a caller's requests and on the time that it takes to send them.
struct CallerLimits {
    /// Maximum size of a request line and its fields together, and of the trailers of a chunked body with them. Also
    /// limits the size line of a chunk, but no further than to 16 KiB. Larger ones get status 431.
    u32 header_bytes { 16'384 };
    /// Maximum size of a request body. Larger bodies get status 413.
    u64 body_bytes { 4'194'304 };
    /// Time limit for the rest of a head after its first byte.
    Duration header_timeout { 3s };
    /// Time limit for the next request on an open connection, and for a body.
    Duration idle_timeout { 15s };
};

/// State that all caller connections of one server share.
struct CallerContext {
    CallerLimits limits {};
    /// While set, every response closes its connection.
    bool closing { false };
    /// Number of requests that have begun to arrive and whose response is not complete.
    size_t open_requests { 0 };
    /// Bounds the unsent bytes of all callers by the host's memory. Empty if the memory is not known.
    std::optional<Overload::OutputBudget> output_budget {};
    /// Called when the budget is exceeded.
    std::function<void()> on_budget_exceeded {};
    /// Bounds the memory for the requests of all callers. Null for no bound.
    std::shared_ptr<Overload::RequestBudget> request_budget {};
    /// Called when an unfinished request holds memory that the budget does not have.
    std::function<void()> on_requests_exceed_memory {};
    /// Without a budget: maximum number of unsent bytes for one caller, in addition to one body of maximum size. The
    /// connection is closed when there are more.
    static constexpr size_t max_pending_bytes = 1 << 20;
    std::shared_ptr<Traffic> traffic { std::make_shared<Traffic>() };
    /// Whether connections that callers open now should be closed unread.
    std::function<bool()> is_overloaded { [] { return false; } };
    /// Whether the first request on a new connection of a caller should be read now; otherwise the connection is
    /// closed.
    std::function<bool()> may_read_new_connection { [] { return true; } };
    std::function<void(std::shared_ptr<Exchange>)> on_request {};
    /// Called for input that is not an acceptable request, with the status and the message that were sent to the
    /// caller.
    std::function<void(Status, std::string const& reason)> on_rejected_request {};
    std::function<void(ConnectionClose const&)> on_closed {};
};

/// A connection from a caller. Reads requests one after another and writes their responses.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(tcp::socket socket, std::shared_ptr<CallerContext> context, RequestOrigin);
    ~CallerConnection();

    void start() { this->await_request(); }
    /// Closes the connection immediately if no request is in progress and none is waiting in the socket.
    void close_if_idle(CloseReason);
    /// Rejects a request that has not been received in full, because this process is about to end.
    void reject_if_incomplete();
    [[nodiscard]] bool is_open() const { return this->phase != ConnectionPhase::Closed; }
    [[nodiscard]] size_t unsent_bytes() const { return this->outgoing_bytes; }
    /// Time since the caller last read something; 0 if nothing is unsent.
    [[nodiscard]] Duration unread_for() const;
    /// Closes the connection, because unsent bytes of all callers take too much memory.
    void close_as_slowest_reader() { this->close(CloseReason::SlowestReader); }
    /// How the request that is being received progresses; empty if none is.
    [[nodiscard]] std::optional<Overload::ReceiveState> receive_state(Instant now);
    /// Whether the memory for requests has none for what the unfinished request on this connection holds.
    [[nodiscard]] bool must_be_shed() const { return this->is_receiving() && this->charge.must_shed(); }
    /// Rejects the request that is being received, because the requests of all callers together take too much of
    /// something. `reason` names it and the remedy.
    void shed_request(std::string const& reason);

private:
    friend class Exchange;
    void await_request();
    void watch_socket();
    void handle_readable();
    void check_for_disconnect();
    void read_or_close();
    /// Whether a request has begun to arrive and is not complete.
    [[nodiscard]] bool is_receiving() const;
    void read_head();
    void read_body();
    /// Parses what was read with the bytes before, in a later turn of the event loop, or reads more.
    void read_or_parse();
    /// Reads the next bytes of the request. Each read is limited, so that memory is counted as it is used and the event
    /// loop serves others in between.
    void read_more();
    void handle_bytes(beast::error_code, size_t count);
    /// Parses what has arrived of the head or of the body.
    void parse();
    [[nodiscard]] bool is_part_complete() const;
    void handle_head();
    /// Counts the memory that the request holds.
    void charge_request();
    /// Gives back the memory of a request that is not received any more.
    void release_request();
    /// Gives back the memory of an empty buffer that has grown.
    void give_back_buffer();
    void reject_unreadable_request(beast::error_code);
    /// Closes the sending side, and reads and discards what the caller still sends. A close with unread bytes would
    /// reset the connection, and the caller might lose the response that it has not read.
    void discard_rest();
    void discard(beast::error_code, size_t count);
    void read_discarded();
    void handle_discard_timeout() { this->close(CloseReason::ResponseSent); }
    void reject(Status, std::string const& reason, std::optional<Duration> retry_after = {});
    [[nodiscard]] bool has_ambiguous_framing() const;
    void deliver();

    /// Calls `on_expiry` after `timeout`, unless the phase has changed or the timer has been reset by then.
    void set_timer(Duration timeout, void (CallerConnection::*on_expiry)());
    void handle_idle_timeout();
    void handle_head_timeout();
    void handle_body_timeout();

    /// Sets the fields of a response head that state whether, and for how long, the connection may be reused.
    void advertise_keep_alive(ResponseHead&);
    void send_response(Response);
    void send_stream_head(ResponseHead);
    void send_chunk(std::string_view);
    void send_last_chunk();
    void enqueue(std::string bytes);
    void account_unsent(std::string const& bytes);
    void account_sent(size_t bytes);
    [[nodiscard]] bool must_pause() const;
    void resume_if_read();
    void write_next();
    void written(beast::error_code, size_t count);
    void request_finished();
    /// Whether the connection may carry another request after the response that was sent last.
    [[nodiscard]] bool awaits_request();
    /// Every close of a connection goes through here. Notifies the exchange of the current request.
    void close(CloseReason);
    void enter(ConnectionPhase);

    tcp::socket socket;
    AK::Timer timer;
    std::shared_ptr<CallerContext> context;
    RequestOrigin origin;
    /// The idle timeout at the last response, whose Keep-Alive field advertises a shorter time.
    Duration advertised_idle_timeout;
    /// Received bytes that the parser has not consumed: at most a head, a chunk header, or the trailers of a body.
    beast::flat_buffer buffer;
    std::optional<RequestParser> parser;
    /// Memory of the buffer and of the request that is being received.
    Overload::RequestCharge charge;
    Overload::ReceiveProgress progress;
    /// Parsed bytes of the part that is being received, and those of the head before a body.
    size_t part_bytes { 0 };
    size_t head_bytes { 0 };
    std::weak_ptr<Exchange> exchange;
    std::deque<std::string> outgoing;
    /// Number of bytes of the first element of `outgoing` that were written.
    size_t written_of_front { 0 };
    size_t outgoing_bytes { 0 };
    /// When the first of the unsent bytes became the first.
    Instant unread_since {};
    /// The handler of the request waits until the caller has read enough.
    bool is_paused { false };
    ConnectionPhase phase { ConnectionPhase::BetweenRequests };
    Instant phase_began {};
    u64 requests_accepted { 0 };
    bool writing { false };
    bool finish_when_written { false };
    bool keep_alive { true };
    bool watching { false };
    /// A read of the request, or of what is discarded after it, has not completed yet.
    bool reading { false };
    /// The current request was rejected before it was received in full.
    bool is_rejected { false };
    size_t discarded_bytes { 0 };
};

}
