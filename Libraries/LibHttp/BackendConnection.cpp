/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibHttp/BackendConnection.h>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace Http {

/// A kept connection is used again within this time unless the peer names a shorter one. Backend servers close idle
/// connections after some seconds; a request that crosses the close may or may not have run.
static constexpr Duration default_idle_limit = 1500ms;
/// Taken off the time that a peer names in Keep-Alive, for the way there and its rounding.
static constexpr Duration idle_limit_margin = 500ms;
/// Stands before the seconds in Keep-Alive.
static constexpr std::string_view idle_limit_parameter = "timeout=";
/// Largest answer body that is taken: larger ones would not fit a host's memory beside others.
static constexpr u64 max_response_bytes = 16 << 20;
/// Bounds what a faulty peer can make this host keep.
static constexpr u32 max_response_head_bytes = 64 << 10;

std::string_view to_string(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::NotConnected:
        return "not_connected";
    case ExchangeEnd::NoResponse:
        return "no_answer";
    case ExchangeEnd::Truncated:
        return "truncated";
    case ExchangeEnd::Malformed:
        return "malformed";
    }
    VERIFY(false);
}

std::string describe(ExchangeEnd end, std::string const& reason) { return std::string(to_string(end)) + ": " + reason; }

BackendConnection::BackendConnection(asio::io_context& loop, tcp::endpoint endpoint)
    : socket(loop)
    , connect_timer(loop)
    , endpoint(std::move(endpoint))
{
}

bool BackendConnection::is_reusable()
{
    if (!this->connected || this->in_exchange || !this->response_allows_reuse)
        return false;
    if (AK::BootClock::now() >= this->idle_until)
        return false;
    // Bytes that nobody asked for, or the peer's close, make the connection useless.
    return peek(this->socket) == Readable::Nothing;
}

void BackendConnection::exchange(
    Request new_request, ExchangeObserver new_observer, Duration connect_timeout, Duration silence_limit)
{
    VERIFY(!this->in_exchange);
    this->in_exchange = true;
    this->request_written = false;
    this->response_allows_reuse = false;
    this->request = std::move(new_request);
    this->observer = std::make_shared<ExchangeObserver>(std::move(new_observer));
    ++this->exchange_number;
    if (this->connected)
        return this->send();
    this->connect(connect_timeout, silence_limit);
}

void BackendConnection::connect(Duration patience, Duration silence_limit)
{
    auto number = this->exchange_number;
    this->connect_timer.expires_after(patience);
    this->connect_timer.async_wait([self = shared_from_this(), number](beast::error_code error) {
        if (!error && number == self->exchange_number && self->in_exchange && !self->connected)
            self->fail(ExchangeEnd::NotConnected, asio::error::timed_out);
    });
    this->socket.async_connect(
        this->endpoint, [self = shared_from_this(), number, silence_limit](beast::error_code error) {
            if (number != self->exchange_number || !self->in_exchange)
                return;
            self->connect_timer.cancel();
            if (error)
                return self->fail(ExchangeEnd::NotConnected, error);
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
    this->serializer.emplace(this->request);
    beast::http::async_write(
        this->socket, *this->serializer, [self = shared_from_this(), number](beast::error_code error, size_t) {
            // A failed write shows in the read as well, which may still hold an answer.
            if (number == self->exchange_number && !error)
                self->request_written = true;
        });
    this->read_head();
}

void BackendConnection::read_head()
{
    auto number = this->exchange_number;
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(max_response_bytes);
    this->parser->header_limit(max_response_head_bytes);
    beast::http::async_read_header(this->socket, this->buffer, *this->parser,
        [self = shared_from_this(), number](beast::error_code error, size_t) {
            if (number == self->exchange_number && self->in_exchange)
                self->handle_head(error);
        });
}

void BackendConnection::handle_head(beast::error_code error)
{
    if (error)
        return this->fail(is_malformed(error) ? ExchangeEnd::Malformed : ExchangeEnd::NoResponse, error);
    auto number = this->exchange_number;
    auto current = this->observer;
    // An informational answer (100 to 199) is followed by the real one.
    auto const& head = this->parser->get();
    constexpr unsigned first_final_status = 200;
    bool const is_informational = head.result_int() < first_final_status;
    this->skipping = is_informational || current->head(head) == HeadAction::Skip;
    if (number != this->exchange_number || !this->in_exchange)
        return;
    this->record_idle_limit(this->parser->get());
    this->read_body();
}

/// The idle time that the peer names in Keep-Alive, if it does.
static std::optional<Duration> named_idle_limit(ResponseHead const& head)
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
    if (auto named = named_idle_limit(head))
        limit = std::min<Duration>(limit, std::max<Duration>(0s, *named - idle_limit_margin));
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
    beast::http::async_read_some(this->socket, this->buffer, *this->parser,
        [self = shared_from_this(), number](beast::error_code error, size_t) {
            if (number == self->exchange_number && self->in_exchange)
                self->handle_body(error);
        });
}

void BackendConnection::handle_body(beast::error_code error)
{
    if (!error)
        return this->read_body();
    auto number = this->exchange_number;
    this->forward_body();
    if (number == this->exchange_number && this->in_exchange)
        this->fail(ExchangeEnd::Truncated, error);
}

void BackendConnection::forward_body()
{
    auto& body = this->parser->get().body();
    if (body.empty())
        return;
    auto piece = std::exchange(body, {});
    auto current = this->observer;
    if (!this->skipping)
        current->body(piece);
}

void BackendConnection::finish_response()
{
    if (this->skipping)
        return this->read_head();
    // An answer that came before the request was all sent leaves the peer waiting for the rest of it.
    this->response_allows_reuse = this->request_written && this->buffer.size() == 0 && this->parser->get().keep_alive()
        && !this->parser->need_eof();
    this->finish(ExchangeEnd::Complete, {});
}

void BackendConnection::fail(ExchangeEnd end, beast::error_code error)
{
    this->close();
    this->finish(end, error.message());
}

void BackendConnection::finish(ExchangeEnd end, std::string const& reason)
{
    this->in_exchange = false;
    this->idle_since = AK::BootClock::now();
    if (!this->response_allows_reuse)
        this->close();
    // The observer may hold what keeps this connection alive.
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
