/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/Types.h>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace Http {

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

void remove_connection_fields(Fields& fields)
{
    std::vector<std::string> named;
    for (auto const& token : beast::http::token_list(fields[Name::connection]))
        named.emplace_back(token);
    for (auto const& name : named)
        fields.erase(name);
    for (auto name : { Name::connection, Name::keep_alive, Name::proxy_connection, Name::te, Name::trailer,
             Name::transfer_encoding, Name::upgrade, Name::content_length, Name::expect })
        fields.erase(name);
}

void bound_silence(tcp::socket& socket, Duration patience)
{
    auto milliseconds = static_cast<unsigned>(AK::to_milliseconds(patience));
    int const one = 1;
    auto const seconds = std::max(1, static_cast<int>(milliseconds / 3000));
    auto descriptor = socket.native_handle();
    // Failures leave the system's defaults in place, which only makes a dead peer noticed later.
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    int const probes = 2;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

}
