/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibHttp/CallerConnection.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace Http {

using HttpError = beast::http::error;

/// A caller whose host has acknowledged nothing for this long is cut off or has no power.
static constexpr Duration caller_silence_limit = 10s;

std::string_view to_string(RequestPhase phase)
{
    switch (phase) {
    case RequestPhase::BetweenRequests:
        return "between_requests";
    case RequestPhase::ReadingHead:
        return "reading_head";
    case RequestPhase::ReadingBody:
        return "reading_body";
    case RequestPhase::Answering:
        return "answering";
    }
    VERIFY(false);
}

std::string_view to_string(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Idle:
        return "idle";
    case CloseReason::PlannedStop:
        return "planned_stop";
    }
    VERIFY(false);
}

CallerConnection::CallerConnection(tcp::socket socket, std::shared_ptr<CallerContext> context)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , context(std::move(context))
{
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    bound_silence(this->socket, caller_silence_limit);
}

CallerConnection::~CallerConnection() { this->set_in_request(false); }

void CallerConnection::set_in_request(bool now_in_request)
{
    if (this->in_request == now_in_request)
        return;
    this->in_request = now_in_request;
    this->context->open_requests += now_in_request ? 1 : -1;
}

void CallerConnection::enter(RequestPhase next)
{
    this->phase = next;
    this->phase_began = std::chrono::steady_clock::now();
}

void CallerConnection::read_head()
{
    this->enter(this->buffer.size() > 0 ? RequestPhase::ReadingHead : RequestPhase::BetweenRequests);
    this->parser.emplace();
    this->parser->header_limit(this->context->limits.header_bytes);
    this->parser->body_limit(this->context->limits.body_bytes);
    auto patience = this->buffer.size() > 0 ? this->context->limits.header_timeout : this->context->limits.idle_timeout;
    this->timer.expires_after(patience);
    this->timer.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error)
            self->close_unasked(CloseReason::Idle);
    });
    beast::http::async_read_header(this->socket, this->buffer, *this->parser,
        [self = shared_from_this()](beast::error_code error, size_t) { self->head_arrived(error); });
}

bool CallerConnection::has_ambiguous_framing() const
{
    // A body whose end two parsers could see in different places is a way to hide a request in another one.
    auto const& head = this->parser->get();
    if (head.count(Name::content_length) > 1 || head.count(Name::transfer_encoding) > 1)
        return true;
    if (head.count(Name::transfer_encoding) == 0)
        return false;
    return !beast::iequals(head[Name::transfer_encoding], "chunked") || head.count(Name::content_length) > 0;
}

void CallerConnection::head_arrived(beast::error_code error)
{
    if (error)
        return this->refuse_bytes(error);
    this->enter(RequestPhase::ReadingBody);
    if (this->has_ambiguous_framing())
        return this->refuse(Status::bad_request, "send either one Content-Length or 'Transfer-Encoding: chunked'");
    this->timer.expires_after(this->context->limits.idle_timeout);
    this->timer.async_wait([self = shared_from_this()](beast::error_code timer_error) {
        if (!timer_error)
            self->refuse(Status::request_timeout, "the body did not arrive in time; send the request again");
    });
    beast::http::async_read(this->socket, this->buffer, *this->parser,
        [self = shared_from_this()](beast::error_code read_error, size_t) { self->body_arrived(read_error); });
}

void CallerConnection::body_arrived(beast::error_code error)
{
    // The caller may have been told by now that the body came too late; it must not be run after that.
    if (this->in_request)
        return;
    if (error)
        return this->refuse_bytes(error);
    this->timer.cancel();
    this->deliver();
}

void CallerConnection::refuse_bytes(beast::error_code error)
{
    this->timer.cancel();
    if (error == HttpError::header_limit)
        return this->refuse(
            Status::request_header_fields_too_large, "the header is too large; send fewer or shorter fields");
    if (error == HttpError::body_limit)
        return this->refuse(Status::payload_too_large, "the body is too large; send a smaller one");
    if (is_malformed(error))
        return this->refuse(Status::bad_request, "not a well-formed HTTP/1.1 request (" + error.message() + ')');
    this->close();
}

void CallerConnection::refuse(Status status, std::string const& reason)
{
    if (this->in_request || !this->socket.is_open())
        return;
    this->set_in_request(true);
    this->keep_alive = false;
    if (this->context->on_refused_bytes)
        this->context->on_refused_bytes(reason);
    Response response(status, http_1_1);
    response.set(Name::content_type, "application/json");
    response.body() = R"({"error":{"type":"invalid_request","message":")" + reason + "\"}}";
    this->send_answer(std::move(response));
}

void CallerConnection::deliver()
{
    this->set_in_request(true);
    this->enter(RequestPhase::Answering);
    ++this->requests_taken;
    this->keep_alive = this->parser->get().keep_alive();
    auto received = std::chrono::steady_clock::now();
    auto taken = std::make_shared<Exchange>(shared_from_this(), this->parser->release(), received);
    this->exchange = taken;
    this->watch_for_leaving();
    this->context->on_request(std::move(taken));
}

void CallerConnection::watch_for_leaving()
{
    if (this->watching || !this->socket.is_open())
        return;
    this->watching = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
        self->watching = false;
        if (error || !self->in_request)
            return;
        auto readable = peek(self->socket);
        if (readable == Readable::Nothing)
            return self->watch_for_leaving();
        // With a further request waiting the end of the connection cannot be seen before that request is read.
        if (readable == Readable::End)
            self->caller_left();
    });
}

void CallerConnection::send_answer(Response response)
{
    if (this->context->closing)
        this->keep_alive = false;
    response.version(http_1_1);
    response.keep_alive(this->keep_alive);
    response.prepare_payload();
    std::ostringstream head;
    head << response.base();
    this->finish_when_written = true;
    this->enqueue(head.str() + response.body());
}

void CallerConnection::send_stream_head(ResponseHead head)
{
    if (this->context->closing)
        this->keep_alive = false;
    head.version(http_1_1);
    head.set(Name::transfer_encoding, "chunked");
    if (!this->keep_alive)
        head.set(Name::connection, "close");
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
    this->outgoing_bytes += bytes.size();
    if (this->outgoing_bytes > CallerContext::most_waiting_bytes + this->context->limits.body_bytes)
        return this->caller_left();
    this->outgoing.push_back(std::move(bytes));
    if (!this->writing)
        this->write_next();
}

void CallerConnection::write_next()
{
    this->writing = true;
    asio::async_write(this->socket, asio::buffer(this->outgoing.front()),
        [self = shared_from_this()](beast::error_code error, size_t) { self->written(error); });
}

void CallerConnection::written(beast::error_code error)
{
    this->writing = false;
    if (error)
        return this->caller_left();
    if (!this->outgoing.empty()) {
        this->outgoing_bytes -= this->outgoing.front().size();
        this->outgoing.pop_front();
    }
    if (!this->outgoing.empty())
        return this->write_next();
    if (this->finish_when_written)
        this->request_finished();
}

void CallerConnection::request_finished()
{
    this->set_in_request(false);
    this->finish_when_written = false;
    if (this->keep_alive)
        return this->read_head();
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->close();
}

void CallerConnection::caller_left()
{
    auto left = this->exchange.lock();
    this->close();
    if (left)
        left->connection_lost();
}

void CallerConnection::close_if_idle()
{
    if (!this->in_request && this->buffer.size() == 0)
        this->close_unasked(CloseReason::PlannedStop);
}

void CallerConnection::close_unasked(CloseReason reason)
{
    if (this->socket.is_open() && this->context->on_closed)
        this->context->on_closed(
            { reason, this->phase, this->requests_taken, std::chrono::steady_clock::now() - this->phase_began });
    this->close();
}

void CallerConnection::close()
{
    this->timer.cancel();
    this->set_in_request(false);
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

}
