/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <LibHttp/Types.h>
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace Soak {

/// Forwards datagrams to a target on loopback, and on demand delays them or drops some or all of them. Dropped
/// datagrams are never delivered, as on a real link.
class DatagramProxy {
public:
    /// Throws boost::system::system_error when `listen` cannot be bound.
    DatagramProxy(Http::asio::io_context&, Http::tcp::endpoint listen, Http::tcp::endpoint target);

    [[nodiscard]] Http::tcp::endpoint const& endpoint() const { return this->listen; }
    [[nodiscard]] Http::tcp::endpoint const& target_endpoint() const { return this->target; }
    /// From now on, delays datagrams and drops one in `drop_one_in`.
    void set_slow_and_lossy(Duration new_delay, u32 drop_one_in);
    void drop_all() { this->drops_all = true; }
    void heal();

private:
    using Udp = Http::asio::ip::udp;
    static constexpr size_t max_datagram_bytes = 65'536;

    void receive();
    void forward(std::string datagram);

    Http::asio::io_context& loop;
    Http::tcp::endpoint listen;
    Http::tcp::endpoint target;
    Udp::socket socket;
    Udp::endpoint sender;
    std::array<char, max_datagram_bytes> buffer {};
    bool drops_all { false };
    Duration delay { 0 };
    u32 dropped_one_in { 0 };
    u32 count { 0 };
};

}
