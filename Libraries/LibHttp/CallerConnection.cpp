/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerConnection.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace Http {

using HttpError = beast::http::error;

/// A caller whose host has acknowledged nothing for this long is unreachable or has lost power.
static constexpr Duration caller_silence_limit = 10s;
/// How often a connection with unread bytes is checked for a close by the caller. Work for a disconnected caller must
/// end within half a second.
static constexpr Duration disconnect_check_period = 200ms;
/// Subtracted from the idle timeout that is advertised to callers, so that no request is sent while this side closes
/// the connection. Longer than the delay of a request from another region (12 ms) and its retransmissions on a lossy
/// link.
static constexpr Duration keep_alive_margin = 1s;
/// The buffer of a connection holds at least this much, however small heads have to be.
static constexpr size_t min_buffer_bytes = 16 << 10;
/// A buffer that has grown beyond this is given back after the request.
static constexpr size_t max_kept_buffer_bytes = 4 << 10;
/// Retry-After of a request for which there is no memory. Those that hold it are over within about a second.
static constexpr Duration shed_retry_after = 500ms;
/// A caller whose request was rejected while it was sending gets this long to read the response, and may send this much
/// meanwhile.
static constexpr Duration max_discard_time = 2s;
static constexpr size_t max_discarded_bytes = 4 << 20;

CallerConnection::CallerConnection(tcp::socket socket, std::shared_ptr<CallerContext> context, RequestOrigin origin)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , context(std::move(context))
    , origin(origin)
    , advertised_idle_timeout(this->context->limits.idle_timeout)
    , charge(this->context->request_budget)
{
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    set_peer_timeout(this->socket, caller_silence_limit);
}

CallerConnection::~CallerConnection()
{
    this->account_sent(this->outgoing_bytes);
    this->enter(ConnectionPhase::Closed);
}

void CallerConnection::enter(ConnectionPhase next)
{
    this->context->open_requests -= has_request(this->phase) ? 1 : 0;
    this->context->open_requests += has_request(next) ? 1 : 0;
    this->phase = next;
    this->phase_began = AK::BootClock::now();
}

void CallerConnection::set_timer(Duration timeout, void (CallerConnection::*on_expiry)())
{
    auto const set_in = this->phase;
    this->timer.expires_after(timeout);
    this->timer.async_wait([self = shared_from_this(), set_in, on_expiry](beast::error_code error) {
        // A wait that had already expired when the timer was cancelled or reset still completes without an error.
        bool const is_current = self->phase == set_in && AK::BootClock::now() >= self->timer.expiry();
        if (!error && is_current)
            (self.get()->*on_expiry)();
    });
}

void CallerConnection::await_request()
{
    this->enter(ConnectionPhase::BetweenRequests);
    if (this->buffer.size() > 0)
        return this->read_head();
    this->give_back_buffer();
    this->set_timer(this->advertised_idle_timeout, &CallerConnection::handle_idle_timeout);
    this->watch_socket();
}

void CallerConnection::watch_socket()
{
    if (this->watching || !this->is_open())
        return;
    this->watching = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
        self->watching = false;
        if (!error)
            self->handle_readable();
    });
}

void CallerConnection::handle_readable()
{
    if (this->phase != ConnectionPhase::BetweenRequests && this->phase != ConnectionPhase::Responding)
        return;
    // A wait may also complete through a queued event of a closed socket whose reactor entry this socket reuses.
    auto readable = peek(this->socket);
    if (readable == Readable::Nothing)
        return this->watch_socket();
    if (readable == Readable::End)
        return this->close(CloseReason::ClosedByCaller);
    if (this->phase == ConnectionPhase::BetweenRequests)
        return this->read_or_close();
    // The bytes belong to the next request, which is read later. A wait for readability cannot see a close behind them.
    this->set_timer(disconnect_check_period, &CallerConnection::check_for_disconnect);
}

void CallerConnection::read_or_close()
{
    bool const is_new_caller = this->requests_accepted == 0 && this->origin == RequestOrigin::Caller;
    if (!is_new_caller || this->context->may_read_new_connection())
        return this->read_head();
    ++this->context->traffic->connections_not_read;
    this->close(CloseReason::Overloaded);
}

void CallerConnection::check_for_disconnect()
{
    if (peer_has_closed(this->socket))
        return this->close(CloseReason::ClosedByCaller);
    this->set_timer(disconnect_check_period, &CallerConnection::check_for_disconnect);
}

void CallerConnection::handle_idle_timeout()
{
    // Bytes that arrived in time are read in a later event loop iteration.
    if (peek(this->socket) != Readable::Bytes)
        this->close(CloseReason::Idle);
}

void CallerConnection::close_if_idle(CloseReason reason)
{
    if (this->phase == ConnectionPhase::Discarding && reason == CloseReason::CapacityNeeded)
        return this->close(reason);
    if (this->phase == ConnectionPhase::BetweenRequests && peek(this->socket) != Readable::Bytes)
        this->close(reason);
}

void CallerConnection::reject_if_incomplete()
{
    if (this->phase == ConnectionPhase::ReadingHead || this->phase == ConnectionPhase::ReadingBody)
        this->reject(Status::service_unavailable, "this host is stopping; send the request again on a new connection");
}

bool CallerConnection::is_receiving() const
{
    return this->phase == ConnectionPhase::ReadingHead || this->phase == ConnectionPhase::ReadingBody;
}

void CallerConnection::read_head()
{
    this->enter(ConnectionPhase::ReadingHead);
    auto const& limits = this->context->limits;
    auto const& budget = this->context->request_budget;
    this->parser.emplace();
    this->parser->header_limit(limits.header_bytes);
    this->parser->body_limit(limits.body_bytes);
    // The parser limits what a chunk header or a trailer section may be only once its end has arrived.
    this->buffer.max_size(std::max<size_t>({ min_buffer_bytes, limits.header_bytes, this->buffer.size() }));
    if (budget)
        budget->set_largest_request(limits.body_bytes + limits.header_bytes + this->buffer.max_size());
    this->part_bytes = 0;
    this->progress.begin(AK::BootClock::now());
    this->set_timer(limits.header_timeout, &CallerConnection::handle_head_timeout);
    this->read_or_parse();
}

void CallerConnection::read_body()
{
    this->enter(ConnectionPhase::ReadingBody);
    this->set_timer(this->context->limits.idle_timeout, &CallerConnection::handle_body_timeout);
    this->parser->eager(true);
    this->head_bytes = std::exchange(this->part_bytes, 0);
    this->charge_request();
    this->read_or_parse();
}

void CallerConnection::read_or_parse()
{
    if (this->buffer.size() == 0 && !this->is_part_complete())
        return this->read_more();
    asio::post(this->socket.get_executor(), [self = shared_from_this()] {
        if (self->is_receiving())
            self->parse();
    });
}

void CallerConnection::read_more()
{
    constexpr size_t max_read_bytes = 64 << 10;
    auto const size = beast::read_size(this->buffer, max_read_bytes);
    if (size == 0)
        return this->reject_unreadable_request(HttpError::buffer_overflow);
    this->reading = true;
    this->socket.async_read_some(this->buffer.prepare(size),
        [self = shared_from_this()](beast::error_code error, size_t count) { self->handle_bytes(error, count); });
}

void CallerConnection::handle_bytes(beast::error_code error, size_t count)
{
    this->reading = false;
    this->buffer.commit(count);
    if (this->phase == ConnectionPhase::Discarding)
        return this->discard(error, count);
    // The request may already have been rejected because it arrived too late. It must not run then, nor after its
    // connection was closed: nobody would receive its response.
    if (!this->is_receiving())
        return;
    if (error == asio::error::eof) {
        error = HttpError::end_of_stream;
        if (this->parser->got_some())
            this->parser->put_eof(error);
    }
    if (error)
        return this->reject_unreadable_request(error);
    this->progress.record(count, AK::BootClock::now());
    this->parse();
}

bool CallerConnection::is_part_complete() const
{
    return this->phase == ConnectionPhase::ReadingHead ? this->parser->is_header_done() : this->parser->is_done();
}

void CallerConnection::parse()
{
    beast::error_code error;
    while (!error && this->buffer.size() > 0 && !this->is_part_complete()) {
        auto const used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        this->part_bytes += used;
    }
    bool const is_unreadable = error && error != HttpError::need_more;
    if (is_unreadable || this->is_part_complete())
        this->context->traffic->record_received(this->part_bytes);
    if (is_unreadable)
        return this->reject_unreadable_request(error);
    this->charge_request();
    if (!this->is_part_complete())
        return this->read_more();
    if (this->phase == ConnectionPhase::ReadingHead)
        return this->handle_head();
    this->deliver();
}

void CallerConnection::handle_head()
{
    if (this->has_ambiguous_framing())
        return this->reject(Status::bad_request, "send either one Content-Length or 'Transfer-Encoding: chunked'");
    this->read_body();
}

void CallerConnection::charge_request()
{
    u64 body_bytes = 0;
    if (this->phase == ConnectionPhase::ReadingBody) {
        // The memory for an announced body is reserved, so that it is refused before much of it has been sent.
        auto const announced = this->parser->content_length().value_or(0);
        body_bytes = std::max<u64>(announced, this->parser->get().body().size());
    }
    this->charge.set(this->buffer.capacity() + this->head_bytes + body_bytes);
    if (this->charge.must_shed() && this->context->on_requests_exceed_memory)
        this->context->on_requests_exceed_memory();
}

void CallerConnection::release_request()
{
    this->parser.reset();
    this->head_bytes = 0;
    this->charge.set(this->buffer.capacity());
}

void CallerConnection::give_back_buffer()
{
    if (this->buffer.capacity() > max_kept_buffer_bytes)
        this->buffer.shrink_to_fit();
    this->charge.set(this->buffer.capacity());
}

std::optional<Overload::ReceiveState> CallerConnection::receive_state(Instant now)
{
    if (!this->is_receiving())
        return {};
    return this->progress.state(this->charge.held(), now);
}

void CallerConnection::shed_request(std::string const& reason)
{
    ++this->context->traffic->requests_shed;
    this->reject(Status::service_unavailable, reason, shed_retry_after);
}

void CallerConnection::handle_head_timeout()
{
    this->reject(Status::request_timeout, "the head did not arrive in time; send the request again");
}

void CallerConnection::handle_body_timeout()
{
    this->reject(Status::request_timeout, "the body did not arrive in time; send the request again");
}

bool CallerConnection::has_ambiguous_framing() const
{
    // If two parsers can disagree about where a body ends, one request can be smuggled inside another.
    auto const& head = this->parser->get();
    auto const lengths = head.count(Name::content_length);
    bool const has_both = lengths > 0 && head.count(Name::transfer_encoding) > 0;
    return lengths > 1 || has_both || has_unknown_transfer_coding(head);
}

void CallerConnection::reject_unreadable_request(beast::error_code error)
{
    if (error == HttpError::header_limit || error == HttpError::buffer_overflow)
        return this->reject(Status::request_header_fields_too_large,
            "the header, a chunk header or the trailers are too large; send fewer or shorter fields");
    if (error == HttpError::body_limit)
        return this->reject(Status::payload_too_large, "the body is too large; send a smaller one");
    if (is_malformed(error))
        return this->reject(Status::bad_request, "not a well-formed HTTP/1.1 request (" + error.message() + ')');
    this->close(CloseReason::ClosedByCaller);
}

void CallerConnection::discard_rest()
{
    this->enter(ConnectionPhase::Discarding);
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->set_timer(max_discard_time, &CallerConnection::handle_discard_timeout);
    if (!this->reading)
        this->read_discarded();
}

void CallerConnection::discard(beast::error_code error, size_t count)
{
    this->discarded_bytes += count;
    if (error || this->discarded_bytes > max_discarded_bytes)
        return this->close(CloseReason::ResponseSent);
    this->read_discarded();
}

void CallerConnection::read_discarded()
{
    this->buffer.consume(this->buffer.size());
    this->give_back_buffer();
    this->reading = true;
    this->socket.async_read_some(this->buffer.prepare(max_kept_buffer_bytes),
        [self = shared_from_this()](beast::error_code error, size_t count) { self->handle_bytes(error, count); });
}

void CallerConnection::reject(Status status, std::string const& reason, std::optional<Duration> retry_after)
{
    this->enter(ConnectionPhase::Responding);
    this->timer.cancel();
    this->release_request();
    this->keep_alive = false;
    this->is_rejected = true;
    if (this->context->on_rejected_request)
        this->context->on_rejected_request(status, reason);
    Response response(status, http_1_1);
    response.set(Name::content_type, "application/json");
    if (retry_after)
        response.set(Name::retry_after, std::to_string(AK::to_seconds(*retry_after)));
    // The request has not been delivered to anyone.
    if (this->origin == RequestOrigin::Host)
        response.set(not_run_field, "1");
    response.body() = R"({"error":{"type":"invalid_request","message":")" + reason + "\"}}";
    this->send_response(std::move(response));
}

void CallerConnection::deliver()
{
    this->enter(ConnectionPhase::Responding);
    this->timer.cancel();
    ++this->requests_accepted;
    ++this->context->traffic->requests_read;
    this->keep_alive = this->parser->get().keep_alive();
    auto received = AK::BootClock::now();
    auto long_fields = this->parser->release_long_fields();
    auto request = this->parser->release();
    Overload::RequestCharge request_charge(this->context->request_budget);
    request_charge.set(this->head_bytes + request.body().size());
    this->release_request();
    auto accepted = std::make_shared<Exchange>(shared_from_this(), std::move(request), std::move(long_fields),
        std::move(request_charge), received, this->origin);
    this->exchange = accepted;
    this->watch_socket();
    this->context->on_request(std::move(accepted));
}

void CallerConnection::advertise_keep_alive(ResponseHead& head)
{
    head.version(http_1_1);
    if (this->context->closing || head[Name::connection] == "close")
        this->keep_alive = false;
    if (!this->keep_alive)
        return head.set(Name::connection, "close");
    // Stored because the configuration may change before the response is complete.
    this->advertised_idle_timeout = this->context->limits.idle_timeout;
    auto const advertised = this->advertised_idle_timeout - keep_alive_margin;
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(advertised).count();
    if (seconds > 0)
        head.set(Name::keep_alive, "timeout=" + std::to_string(seconds));
}

void CallerConnection::send_response(Response response)
{
    this->advertise_keep_alive(response);
    response.prepare_payload();
    std::ostringstream head;
    head << response.base();
    this->finish_when_written = true;
    this->enqueue(head.str() + response.body());
}

void CallerConnection::send_stream_head(ResponseHead head)
{
    this->advertise_keep_alive(head);
    head.set(Name::transfer_encoding, "chunked");
    std::ostringstream text;
    text << head;
    this->enqueue(text.str());
}

void CallerConnection::send_chunk(std::string_view piece)
{
    this->enqueue(beast::buffers_to_string(beast::http::make_chunk(asio::buffer(piece.data(), piece.size()))));
}

void CallerConnection::send_last_chunk()
{
    this->finish_when_written = true;
    this->enqueue(beast::buffers_to_string(beast::http::make_chunk_last()));
}

void CallerConnection::enqueue(std::string bytes)
{
    if (!this->is_open())
        return;
    this->account_unsent(bytes);
    bool const is_over_limit
        = this->outgoing_bytes > CallerContext::max_pending_bytes + this->context->limits.body_bytes;
    if (!this->context->output_budget && is_over_limit)
        return this->close(CloseReason::TooManyPendingBytes);
    this->outgoing.push_back(std::move(bytes));
    if (!this->writing)
        this->write_next();
    auto const& budget = this->context->output_budget;
    if (budget && budget->is_exceeded() && this->context->on_budget_exceeded)
        this->context->on_budget_exceeded();
}

void CallerConnection::account_unsent(std::string const& bytes)
{
    if (this->outgoing_bytes == 0)
        this->unread_since = AK::BootClock::now();
    this->outgoing_bytes += bytes.size();
    if (this->context->output_budget)
        this->context->output_budget->add(bytes.size());
}

void CallerConnection::account_sent(size_t bytes)
{
    this->outgoing_bytes -= bytes;
    this->unread_since = AK::BootClock::now();
    if (this->context->output_budget)
        this->context->output_budget->remove(bytes);
}

Duration CallerConnection::unread_for() const
{
    return this->outgoing_bytes == 0 ? Duration(0) : AK::BootClock::now() - this->unread_since;
}

bool CallerConnection::must_pause() const
{
    auto const& budget = this->context->output_budget;
    return budget && budget->must_pause(this->outgoing_bytes);
}

void CallerConnection::resume_if_read()
{
    if (!this->is_paused || !this->context->output_budget->may_resume(this->outgoing_bytes))
        return;
    this->is_paused = false;
    if (auto paused = this->exchange.lock())
        paused->caller_has_read();
}

void CallerConnection::write_next()
{
    this->writing = true;
    auto const rest = asio::buffer(this->outgoing.front()) + this->written_of_front;
    // Each write that makes progress counts, so that a caller that reads a large response is not taken for a slow one.
    this->socket.async_write_some(
        rest, [self = shared_from_this()](beast::error_code error, size_t count) { self->written(error, count); });
}

void CallerConnection::written(beast::error_code error, size_t count)
{
    this->writing = false;
    if (!this->is_open())
        return;
    if (error)
        return this->close(CloseReason::WriteFailed);
    this->context->traffic->record_sent(count);
    this->account_sent(count);
    this->written_of_front += count;
    if (this->written_of_front == this->outgoing.front().size()) {
        this->outgoing.pop_front();
        this->written_of_front = 0;
    }
    this->resume_if_read();
    if (!this->is_open())
        return;
    if (this->writing)
        return;
    if (!this->outgoing.empty())
        return this->write_next();
    if (this->finish_when_written)
        this->request_finished();
}

void CallerConnection::request_finished()
{
    this->finish_when_written = false;
    if (this->is_rejected)
        return this->discard_rest();
    if (this->awaits_request())
        return this->await_request();
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->close(CloseReason::ResponseSent);
}

bool CallerConnection::awaits_request()
{
    if (!this->keep_alive || !this->context->closing)
        return this->keep_alive;
    // The response began before the process was told to stop, so its head has not announced the close. A request that
    // has arrived meanwhile gets a response; this side closes before it reads a later one.
    return this->buffer.size() > 0 || peek(this->socket) == Readable::Bytes;
}

void CallerConnection::close(CloseReason reason)
{
    if (!this->is_open())
        return;
    ConnectionClose const closed { reason, this->phase, this->requests_accepted,
        AK::BootClock::now() - this->phase_began };
    this->enter(ConnectionPhase::Closed);
    this->timer.cancel();
    this->parser.reset();
    this->charge.set(0);
    this->account_sent(this->outgoing_bytes);
    // The buffer of a write in progress has to live until its handler has run.
    if (this->outgoing.size() > 1)
        this->outgoing.resize(1);
    boost::system::error_code ignored;
    this->socket.close(ignored);
    if (this->context->on_closed)
        this->context->on_closed(closed);
    if (auto interrupted = this->exchange.lock())
        interrupted->connection_lost();
}

}
