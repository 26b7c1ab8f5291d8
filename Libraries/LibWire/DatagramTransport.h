/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibCore/HandlerGuard.h>
#include <LibCore/Metrics.h>
#include <LibWire/Messages.h>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>

namespace Wire {

/// One-way messages between the system's own processes, a datagram each, over one socket however many peers there are.
/// Messages may be lost, and may overtake each other: whoever sends something that must arrive repeats it, or can be
/// asked for it. Loop thread only.
class DatagramTransport {
public:
    using Handler = std::function<void(wire::Envelope const&)>;

    /// Errors: throws when `listen` cannot be listened on.
    DatagramTransport(boost::asio::io_context&, Core::Metrics&, MemberId member, Address const& listen);

    void on_message(Handler taken) { this->handler = std::move(taken); }
    /// Sends, or drops when the socket's queue is full.
    void send(Address const& peer, wire::Envelope envelope) { this->send(std::span(&peer, 1), std::move(envelope)); }
    /// The same to several peers; the message is encoded once.
    void send(std::span<Address const> peers, wire::Envelope envelope);
    /// Tells peers another address than the one that is listened on, as behind a port forwarder.
    void announce_as(Address address) { this->announced = std::move(address); }
    /// Where peers reach this process.
    [[nodiscard]] Address const& announced_address() const { return this->announced; }

private:
    using Udp = boost::asio::ip::udp;

    /// IPv4's own bound is 65,507. A whole message of a domain names some 2,000 engines in that.
    static constexpr size_t largest_datagram_bytes = 60'000;

    void await_datagrams();
    void receive_all();
    void receive(std::string_view datagram, Udp::endpoint const& sender);
    void reject(std::string_view reason, Udp::endpoint const& sender);
    [[nodiscard]] Udp::endpoint const* endpoint_of(Address const& peer);

    Core::Metrics& metrics;
    MemberId member;
    Address announced;
    Udp::socket socket;
    std::unordered_map<Address, Udp::endpoint> endpoints;
    /// When what a sender sent was last complained of.
    std::map<Udp::endpoint, Instant> complained_of;
    std::array<char, largest_datagram_bytes + 1> buffer {};
    Handler handler;
    Core::HandlerGuard guard;
};

}
