/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace Test {

/// A block of ports that no other test process uses. A process owns a block while it holds the block's first port. All
/// blocks lie below the ephemeral ports, since an outgoing connection could get one of those between its choice and its
/// use.
class PortBlock {
public:
    static constexpr unsigned ports = 500;

    PortBlock()
        : holder(this->loop)
    {
        constexpr unsigned blocks = 40;
        for (unsigned i = 0; i < blocks; ++i) {
            this->first = min_port + (static_cast<unsigned>(::getpid()) + i) % blocks * ports;
            if (this->hold_first())
                return;
        }
        throw std::runtime_error("no block of ports is free; stop tests that are still running");
    }

    /// Returns the ports of the block in turn.
    [[nodiscard]] u16 next() { return static_cast<u16>(this->first + 1 + this->taken++ % (ports - 1)); }

private:
    static constexpr unsigned min_port = 10'000;

    bool hold_first()
    {
        Http::tcp::endpoint const endpoint(Http::asio::ip::address_v4::loopback(), static_cast<u16>(this->first));
        boost::system::error_code error;
        this->holder = Http::tcp::acceptor(this->loop);
        this->holder.open(endpoint.protocol());
        this->holder.bind(endpoint, error);
        return !error;
    }

    Http::asio::io_context loop;
    Http::tcp::acceptor holder;
    unsigned first { 0 };
    unsigned taken { 0 };
};

/// An address on which nothing listens.
inline Http::tcp::endpoint free_endpoint()
{
    static PortBlock block;
    Http::asio::io_context loop;
    while (true) {
        Http::tcp::endpoint endpoint(Http::asio::ip::address_v4::loopback(), block.next());
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
