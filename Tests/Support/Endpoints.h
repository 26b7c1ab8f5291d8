/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <sstream>
#include <unistd.h>

namespace Test {

/// An address that nobody listens on. Ports come from below those that the system hands to outgoing connections,
/// which could take one between its choice here and its use, and start at a place of this process's own.
inline Http::tcp::endpoint free_endpoint()
{
    constexpr unsigned first_port = 10'000;
    constexpr unsigned port_count = 20'000;
    static unsigned next = static_cast<unsigned>(::getpid()) * 97;
    Http::asio::io_context loop;
    while (true) {
        auto port = static_cast<u16>(first_port + next++ % port_count);
        Http::tcp::endpoint endpoint(Http::asio::ip::address_v4::loopback(), port);
        Http::tcp::acceptor acceptor(loop, endpoint.protocol());
        boost::system::error_code error;
        acceptor.set_option(Http::tcp::acceptor::reuse_address(true), error);
        acceptor.bind(endpoint, error);
        if (!error)
            return endpoint;
    }
}

inline std::string text_of(Http::tcp::endpoint const& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

}
