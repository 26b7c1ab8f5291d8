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
#include <vector>

/// HTTP/1.1 client and server on the event loop of a process. Boost.Beast parses and serialises messages;
/// docs/PLATFORM.md explains why it is used here instead of POCO's server.
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

/// Maximum size of a name and of a value in `Fields`.
inline constexpr size_t max_field_bytes = 65'533;

/// A field of a message whose name or value does not fit into `Fields`.
struct LongField {
    std::string name;
    std::string value;
};
using LongFields = std::vector<LongField>;

/// Whether the field concerns a single connection or frames the body, and so is not passed on.
[[nodiscard]] bool is_connection_field(RequestHead const&, std::string_view name);

/// HTTP/1.1 as Beast represents versions.
inline constexpr unsigned http_1_1 = 11;

/// Parses "ip:port". Returns nothing when the text is not an address.
std::optional<tcp::endpoint> parse_endpoint(std::string const& address);

/// Removes connection-specific fields (RFC 9110, section 7.6.1) and the fields that frame the body.
void remove_connection_fields(Fields&);

/// Whether the message names a transfer coding that is not undone here, which is any but "chunked" alone. Its body is
/// then not what the peer wants to send.
[[nodiscard]] bool has_unknown_transfer_coding(Fields const&);

/// Makes the connection fail when the peer has acknowledged nothing for `timeout`. Without it, a broken link would go
/// unnoticed.
void set_peer_timeout(tcp::socket&, Duration timeout);

/// What can be read from a socket without waiting.
enum class Readable : u8 {
    /// Nothing was received, and the connection is open.
    Nothing,
    Bytes,
    /// The peer has closed or reset the connection, and everything that it sent before has been read.
    End,
};

/// Checks the socket without waiting and without consuming bytes.
Readable peek(tcp::socket&);

/// Whether the peer has closed its side of the connection, even if unread bytes precede the close.
bool peer_has_closed(tcp::socket&);

/// Whether reading a message failed because of its content, not because the connection ended.
bool is_malformed(beast::error_code);

}
