/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

/// HTTP/1.1 on the one loop of a process, for both sides. Boost.Beast parses and serialises; see docs/PLATFORM.md for
/// why it is used in place of POCO's server here.
namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Fields = beast::http::fields;
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;
using RequestHead = beast::http::request_header<>;
using ResponseHead = beast::http::response_header<>;
using Status = beast::http::status;
using Verb = beast::http::verb;
using Name = beast::http::field;

/// HTTP/1.1, as Beast writes versions.
inline constexpr unsigned http_1_1 = 11;

/// Parses "ip:port"; empty when it is not an address.
std::optional<tcp::endpoint> parse_endpoint(std::string const& address);

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), together with the body's framing.
void remove_connection_fields(Fields&);

/// The connection dies when a peer has acknowledged nothing for `patience`; without it a cut link goes unnoticed.
void set_peer_timeout(tcp::socket&, Duration patience);

/// What can be read from a socket at once.
enum class Readable : u8 {
    /// Nothing has arrived; the connection is open.
    Nothing,
    Bytes,
    /// The peer has closed or reset the connection, and all that it sent before has been read.
    End,
};

/// Looks without waiting and takes no bytes out of the socket.
Readable peek(tcp::socket&);

/// Whether the peer has ended its side of the connection, also with unread bytes in front of that.
bool peer_has_closed(tcp::socket&);

/// Whether reading a message failed by its content, not by the end of its connection.
bool is_malformed(beast::error_code);

}
