/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibCore/EventLog.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibWire/Messages.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <zmq.hpp>

namespace Wire {

/// Z85-encoded keys for ZeroMQ's CURVE. All daemons of one deployment share the pair. A process without the secret key
/// can neither open nor accept connections.
struct CurveKeys {
    std::string public_key;
    std::string secret_key;
};

/// Sends and receives one-way messages between the system's own processes over ZeroMQ. Delivery is best effort, and in
/// order per sender. A reply is a separate message to the sender's address. Only for the event loop thread.
class PeerTransport {
public:
    using Handler = std::function<void(wire::Envelope const&)>;

    /// Registers a function that the loop calls whenever a socket has messages.
    using Watch = std::function<void(zmq::socket_ref, std::function<void()>)>;

    PeerTransport(Core::EventLoop&, Core::EventLog&, Core::Metrics&, Address listen, std::optional<CurveKeys>);
    PeerTransport(Watch const&, Core::EventLog&, Core::Metrics&, Address listen, std::optional<CurveKeys>);

    void on_message(Handler handler) { this->handler = std::move(handler); }
    /// Sends a message, or drops it if the peer's queue is full. All protocols tolerate loss.
    void send(Address const& peer, wire::Envelope envelope);
    /// Closes the connection to a peer and drops the messages queued for it.
    void disconnect(Address const& peer);
    /// Announces an address to peers that differs from the listening one, as behind a port forwarder.
    void announce_as(Address address) { this->announced = std::move(address); }
    /// The address under which peers reach this process.
    [[nodiscard]] Address const& announced_address() const { return this->announced; }

private:
    void receive_all();
    void receive(zmq::message_t const& frame);
    void handle_authentication();
    zmq::socket_t& socket_for(Address const& peer);
    void secure(zmq::socket_t&, bool is_server);

    Core::EventLog& event_log;
    Core::Metrics& metrics;
    Address listen;
    Address announced { this->listen };
    std::optional<CurveKeys> curve;
    zmq::context_t context;
    zmq::socket_t authentication_socket;
    zmq::socket_t inbound;
    std::unordered_map<Address, zmq::socket_t> outbound;
    Handler handler;
};

}
