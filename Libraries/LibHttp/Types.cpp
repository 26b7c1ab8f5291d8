/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/Types.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace Http {

/// Number of keep-alive probes before a silent connection fails. The time before the first probe and the time after
/// each probe are equal parts of the timeout, so that the connection fails about when the timeout expires.
static constexpr int keep_alive_probes = 2;
/// Equal parts of the timeout: one before the first probe and one for each probe.
static constexpr unsigned keep_alive_parts = keep_alive_probes + 1;

std::optional<tcp::endpoint> parse_endpoint(std::string const& address)
{
    auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return {};
    boost::system::error_code error;
    auto ip = asio::ip::make_address(address.substr(0, colon), error);
    u16 port = 0;
    auto const* end = address.data() + address.size();
    auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end || port == 0)
        return {};
    return tcp::endpoint(ip, port);
}

static constexpr std::array connection_fields { Name::connection, Name::keep_alive, Name::proxy_connection, Name::te,
    Name::trailer, Name::transfer_encoding, Name::upgrade, Name::content_length, Name::expect };

void remove_connection_fields(Fields& fields)
{
    std::vector<std::string> named;
    for (auto const& token : beast::http::token_list(fields[Name::connection]))
        named.emplace_back(token);
    for (auto const& name : named)
        fields.erase(name);
    for (auto name : connection_fields)
        fields.erase(name);
}

bool is_connection_field(RequestHead const& head, std::string_view name)
{
    auto const known = beast::http::string_to_field({ name.data(), name.size() });
    if (std::ranges::find(connection_fields, known) != connection_fields.end())
        return true;
    auto const named = beast::http::token_list(head[Name::connection]);
    return std::any_of(named.begin(), named.end(),
        [&](auto const& token) { return beast::iequals(token, beast::string_view(name.data(), name.size())); });
}

bool has_unknown_transfer_coding(Fields const& fields)
{
    auto const count = fields.count(Name::transfer_encoding);
    return count > 1 || (count == 1 && !beast::iequals(fields[Name::transfer_encoding], "chunked"));
}

/// Ignores failures: with the system's default, a dead peer is only detected later.
static void set_option(tcp::socket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

void set_peer_timeout(tcp::socket& socket, Duration timeout)
{
    auto const milliseconds = static_cast<unsigned>(AK::to_milliseconds(timeout));
    // The kernel accepts only whole seconds for these options.
    auto const seconds = std::max(1, static_cast<int>(milliseconds / (1000 * keep_alive_parts)));
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds));
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

Readable peek(tcp::socket& socket)
{
    char byte = 0;
    auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return Readable::Bytes;
    bool const is_open = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_open ? Readable::Nothing : Readable::End;
}

bool peer_has_closed(tcp::socket& socket)
{
    pollfd state { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

bool is_malformed(beast::error_code error)
{
    using HttpError = beast::http::error;
    bool const is_of_parser = error.category() == beast::http::make_error_code(HttpError::bad_field).category();
    return is_of_parser && error != HttpError::end_of_stream && error != HttpError::partial_message;
}

}
