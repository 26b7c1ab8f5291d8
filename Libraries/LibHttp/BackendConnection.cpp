/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibHttp/BackendConnection.h>
#include <LibHttp/ResponseFault.h>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <sstream>

namespace Http {

/// A persistent connection is reused for at most this long after the head of its last response, or less if the peer
/// advertises a shorter time. Backend servers close idle connections after a few seconds. A request sent while the peer
/// closes the connection may or may not have run.
static constexpr Duration default_idle_limit = 1500ms;
/// Subtracted from the peer's Keep-Alive timeout, which is in whole seconds, to allow for network delay and rounding.
static constexpr Duration idle_limit_margin = 500ms;
/// The parameter of the Keep-Alive field that holds the idle timeout in seconds.
static constexpr std::string_view idle_limit_parameter = "timeout=";
/// Maximum number of informational responses, and of responses to earlier requests, before the awaited one.
static constexpr u32 max_skipped_responses = 16;

static bool is_over_limit(beast::error_code error)
{
    using Error = beast::http::error;
    return error == Error::header_limit || error == Error::body_limit || error == Error::buffer_overflow;
}

std::string_view to_string(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::NotConnected:
    case ExchangeEnd::ConnectTimedOut:
        return "not_connected";
    case ExchangeEnd::NoResponse:
        return "no_answer";
    case ExchangeEnd::Truncated:
        return "truncated";
    case ExchangeEnd::Malformed:
        return "malformed";
    case ExchangeEnd::TooLarge:
        return "too_large";
    }
    VERIFY(false);
}

std::string describe(ExchangeEnd end, std::string const& reason) { return std::string(to_string(end)) + ": " + reason; }

OutgoingRequest::OutgoingRequest(Request request)
    : OutgoingRequest(std::move(request.base()), std::make_shared<std::string const>(std::move(request.body())))
{
}

OutgoingRequest::OutgoingRequest(RequestHead head, std::shared_ptr<std::string const> shared_body)
    : message(std::move(head))
    , body(std::move(shared_body))
{
    this->message.body() = { this->body->data(), this->body->size() };
}

BackendConnection::BackendConnection(asio::io_context& loop, tcp::endpoint endpoint, std::shared_ptr<Traffic> traffic)
    : socket(loop)
    , connect_timer(loop)
    , endpoint(std::move(endpoint))
    , traffic(std::move(traffic))
{
}

bool BackendConnection::is_reusable()
{
    if (!this->connected || this->in_exchange || !this->response_allows_reuse)
        return false;
    if (AK::BootClock::now() >= this->idle_until)
        return false;
    // Unsolicited bytes or a close by the peer make the connection unusable.
    return peek(this->socket) == Readable::Nothing;
}

void BackendConnection::exchange(OutgoingRequest new_request, ExchangeObserver new_observer, Duration connect_timeout,
    Duration silence_limit, u64 max_body)
{
    VERIFY(!this->in_exchange);
    this->in_exchange = true;
    this->request_written = false;
    this->write_failed = false;
    this->response_allows_reuse = false;
    this->is_paused = false;
    this->has_unread_body = false;
    this->skipped_responses = 0;
    this->skipped_bytes = 0;
    this->max_body_bytes = max_body;
    this->response_has_no_body = new_request.message.method() == Verb::head;
    this->request.emplace(std::move(new_request));
    this->observer = std::make_shared<ExchangeObserver>(std::move(new_observer));
    ++this->exchange_number;
    if (this->connected)
        return this->send();
    this->connect(connect_timeout, silence_limit);
}

void BackendConnection::connect(Duration timeout, Duration silence_limit)
{
    auto number = this->exchange_number;
    auto const began = AK::BootClock::now();
    this->connect_timer.expires_after(timeout);
    this->connect_timer.async_wait([self = shared_from_this(), number](beast::error_code error) {
        if (error || number != self->exchange_number || !self->in_exchange || self->connected)
            return;
        ++self->traffic->connects_timed_out;
        self->fail(ExchangeEnd::ConnectTimedOut, beast::error_code(asio::error::timed_out));
    });
    this->socket.async_connect(
        this->endpoint, [self = shared_from_this(), number, began, silence_limit](beast::error_code error) {
            if (number != self->exchange_number || !self->in_exchange)
                return;
            self->connect_timer.cancel();
            if (error)
                return self->fail(
                    error == asio::error::timed_out ? ExchangeEnd::ConnectTimedOut : ExchangeEnd::NotConnected, error);
            ++self->traffic->connections_made;
            self->traffic->connect_time += AK::BootClock::now() - began;
            self->connected = true;
            boost::system::error_code ignored;
            self->socket.set_option(tcp::no_delay(true), ignored);
            set_peer_timeout(self->socket, silence_limit);
            self->send();
        });
}

void BackendConnection::send()
{
    auto number = this->exchange_number;
    ++this->requests_sent;
    if (this->request->long_fields)
        return this->send_with_long_fields();
    this->serializer.emplace(this->request->message);
    beast::http::async_write(
        this->socket, *this->serializer, [self = shared_from_this(), number](beast::error_code error, size_t bytes) {
            self->traffic->record_sent(bytes);
            self->handle_written(error, number);
        });
    this->read_head();
}

/// The head of a message in text, with further fields before the empty line that ends it.
static std::string head_text_of(RequestHead const& head, LongFields const& long_fields)
{
    constexpr std::string_view line_end = "\r\n";
    std::ostringstream text;
    text << head;
    auto result = std::move(text).str();
    result.resize(result.size() - line_end.size());
    for (auto const& [name, value] : long_fields)
        result.append(name).append(": ").append(value).append(line_end);
    return result.append(line_end);
}

void BackendConnection::send_with_long_fields()
{
    auto number = this->exchange_number;
    this->head_text = head_text_of(this->request->message, *this->request->long_fields);
    std::array<asio::const_buffer, 2> const parts { asio::buffer(this->head_text), asio::buffer(*this->request->body) };
    asio::async_write(this->socket, parts, [self = shared_from_this(), number](beast::error_code error, size_t bytes) {
        self->traffic->record_sent(bytes);
        self->handle_written(error, number);
    });
    this->read_head();
}

void BackendConnection::handle_written(beast::error_code error, u64 number)
{
    // The read continues, since the peer may have sent its whole response before.
    bool const is_current = number == this->exchange_number;
    this->request_written |= is_current && !error;
    this->write_failed |= is_current && error;
    // An idle connection must not hold the memory of a large body.
    if (!is_current && this->in_exchange)
        return;
    this->serializer.reset();
    this->head_text = {};
    this->request.reset();
}

void BackendConnection::read_head()
{
    auto number = this->exchange_number;
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(this->max_body_bytes);
    this->parser->header_limit(max_head_bytes);
    this->parser->skip(this->response_has_no_body);
    beast::http::async_read_header(this->socket, this->buffer, *this->parser,
        [self = shared_from_this(), number](beast::error_code error, size_t bytes) {
            self->traffic->record_received(bytes);
            if (number == self->exchange_number && self->in_exchange)
                self->handle_head(error);
        });
}

void BackendConnection::handle_head(beast::error_code error)
{
    if (is_over_limit(error))
        return this->fail(ExchangeEnd::TooLarge, error);
    if (error)
        return this->fail(is_malformed(error) ? ExchangeEnd::Malformed : ExchangeEnd::NoResponse, error);
    auto number = this->exchange_number;
    auto current = this->observer;
    auto const& head = this->parser->get();
    if (auto const fault = fault_of(head))
        return this->fail(ExchangeEnd::Malformed, std::string(to_string(*fault)));
    this->skipping = is_informational(head) || current->head(head) == HeadAction::Skip;
    if (number != this->exchange_number || !this->in_exchange)
        return;
    this->record_idle_limit(this->parser->get());
    this->read_body();
}

/// Returns the idle timeout that the peer advertises in Keep-Alive, if any.
static std::optional<Duration> parse_idle_timeout(ResponseHead const& head)
{
    std::string_view const text(head[Name::keep_alive].data(), head[Name::keep_alive].size());
    auto position = text.find(idle_limit_parameter);
    if (position == std::string_view::npos)
        return {};
    u32 seconds = 0;
    auto const* begin = text.data() + position + idle_limit_parameter.size();
    auto parsed = std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc {})
        return {};
    return std::chrono::seconds(seconds);
}

void BackendConnection::record_idle_limit(ResponseHead const& head)
{
    auto limit = default_idle_limit;
    if (auto advertised = parse_idle_timeout(head))
        limit = std::min<Duration>(limit, std::max<Duration>(0s, *advertised - idle_limit_margin));
    this->idle_until = AK::BootClock::now() + limit;
}

void BackendConnection::read_body()
{
    auto number = this->exchange_number;
    this->forward_body();
    if (number != this->exchange_number || !this->in_exchange)
        return;
    if (this->parser->is_done())
        return this->finish_response();
    this->has_unread_body = this->is_paused;
    if (this->is_paused)
        return;
    beast::http::async_read_some(this->socket, this->buffer, *this->parser,
        [self = shared_from_this(), number](beast::error_code error, size_t bytes) {
            self->traffic->record_received(bytes);
            if (number == self->exchange_number && self->in_exchange)
                self->handle_body(error);
        });
}

void BackendConnection::resume()
{
    this->is_paused = false;
    if (this->in_exchange && std::exchange(this->has_unread_body, false))
        this->read_body();
}

void BackendConnection::handle_body(beast::error_code error)
{
    if (!error)
        return this->read_body();
    auto number = this->exchange_number;
    this->forward_body();
    if (number == this->exchange_number && this->in_exchange)
        this->fail(is_over_limit(error) ? ExchangeEnd::TooLarge : ExchangeEnd::Truncated, error);
}

bool BackendConnection::has_skipped_too_much() const
{
    return this->skipped_responses > max_skipped_responses || this->skipped_bytes > this->max_body_bytes;
}

void BackendConnection::forward_body()
{
    auto& body = this->parser->get().body();
    if (body.empty())
        return;
    auto piece = std::exchange(body, {});
    auto current = this->observer;
    if (!this->skipping)
        return current->body(piece);
    this->skipped_bytes += piece.size();
    if (this->has_skipped_too_much())
        this->fail(ExchangeEnd::TooLarge, "the responses before the awaited one are too large");
}

void BackendConnection::finish_response()
{
    if (this->skipping) {
        ++this->skipped_responses;
        if (this->has_skipped_too_much())
            return this->fail(ExchangeEnd::TooLarge, "too many responses before the awaited one");
        return this->read_head();
    }
    // A socket reports an error once. If a waiting write gets it, the next read sees an ordinary end.
    if (this->parser->need_eof() && this->write_failed)
        return this->fail(
            ExchangeEnd::Truncated, "the connection failed during the request, and the response has no length");
    // After a response that arrived before the whole request was sent, the peer still waits for the rest of the
    // request.
    this->response_allows_reuse = this->request_written && this->buffer.size() == 0 && this->parser->get().keep_alive()
        && !this->parser->need_eof() && !this->is_retired;
    this->finish(ExchangeEnd::Complete, {});
}

void BackendConnection::fail(ExchangeEnd end, std::string const& reason)
{
    this->close();
    this->finish(end, reason);
}

void BackendConnection::finish(ExchangeEnd end, std::string const& reason)
{
    this->in_exchange = false;
    this->idle_since = AK::BootClock::now();
    if (!this->response_allows_reuse)
        this->close();
    // The observer may hold the last reference to this connection, so it is moved out of the member first.
    auto last = std::exchange(this->observer, nullptr);
    last->ended(end, reason);
}

void BackendConnection::cancel()
{
    ++this->exchange_number;
    this->in_exchange = false;
    this->response_allows_reuse = false;
    this->close();
    this->observer = nullptr;
}

void BackendConnection::close()
{
    this->connect_timer.cancel();
    this->connected = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

}
