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

/// Sends and receives one-way messages between the system's own processes. Each message is one UDP datagram, and one
/// socket serves all peers. Messages may be lost or reordered, so senders must repeat important messages or serve
/// requests for them. Only for the event loop thread.
class DatagramTransport {
public:
    using Handler = std::function<void(wire::Envelope const&)>;

    /// Throws if the process cannot listen on `listen`.
    DatagramTransport(boost::asio::io_context&, Core::Metrics&, MemberId member, Address const& listen);

    void on_message(Handler new_handler) { this->handler = std::move(new_handler); }
    /// Sends a message, or drops it if the socket's buffer is full.
    void send(Address const& peer, wire::Envelope envelope) { this->send(std::span(&peer, 1), std::move(envelope)); }
    /// Sends a message to several peers, and encodes it once.
    void send(std::span<Address const> peers, wire::Envelope envelope);
    /// Announces an address to peers that differs from the listening one, as behind a port forwarder.
    void announce_as(Address address) { this->announced = std::move(address); }
    /// The address under which peers reach this process.
    [[nodiscard]] Address const& announced_address() const { return this->announced; }

private:
    using Udp = boost::asio::ip::udp;

    /// IPv4 allows 65,507 bytes. A full state message of a domain with some 2,000 engines fits into the limit.
    static constexpr size_t max_datagram_bytes = 60'000;

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
    /// Time of the last log line about a malformed datagram, by sender.
    std::map<Udp::endpoint, Instant> last_logged;
    std::array<char, max_datagram_bytes + 1> buffer {};
    Handler handler;
    Core::HandlerGuard guard;
};

}
