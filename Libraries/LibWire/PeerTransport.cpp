/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibWire/PeerTransport.h>
#include <glog/logging.h>
#include <vector>

namespace Wire {

static constexpr int queue_limit_per_peer = 1000;
static constexpr i64 max_frame_bytes = 4 * 1024 * 1024;
static constexpr size_t max_frames_per_iteration = 256;
static constexpr int peer_silence_limit_milliseconds = 3000;

PeerTransport::PeerTransport(Core::EventLoop& loop, Core::EventLog& event_log, Core::Metrics& metrics, Address listen,
    std::optional<CurveKeys> curve)
    : PeerTransport([&loop](zmq::socket_ref socket,
                        std::function<void()> on_readable) { loop.watch(socket, std::move(on_readable)); },
        event_log, metrics, std::move(listen), std::move(curve))
{
}

PeerTransport::PeerTransport(Watch const& watch, Core::EventLog& event_log, Core::Metrics& metrics, Address listen,
    std::optional<CurveKeys> curve)
    : event_log(event_log)
    , metrics(metrics)
    , listen(std::move(listen))
    , curve(std::move(curve))
    , context(1)
    , authentication_socket(this->context, zmq::socket_type::rep)
    , inbound(this->context, zmq::socket_type::router)
{
    if (this->curve) {
        // ZeroMQ sends the authentication requests for clients' keys to this fixed address (RFC 27, ZAP).
        this->authentication_socket.bind("inproc://zeromq.zap.01");
        watch(this->authentication_socket, [this] { this->handle_authentication(); });
        this->secure(this->inbound, true);
    }
    this->inbound.set(zmq::sockopt::linger, 0);
    this->inbound.set(zmq::sockopt::maxmsgsize, max_frame_bytes);
    this->inbound.bind("tcp://" + this->listen.value());
    watch(this->inbound, [this] { this->receive_all(); });
}

void PeerTransport::secure(zmq::socket_t& socket, bool is_server)
{
    if (!this->curve)
        return;
    socket.set(zmq::sockopt::curve_publickey, this->curve->public_key);
    socket.set(zmq::sockopt::curve_secretkey, this->curve->secret_key);
    if (is_server)
        socket.set(zmq::sockopt::curve_server, true);
    else
        socket.set(zmq::sockopt::curve_serverkey, this->curve->public_key);
}

/// Reads the parts of one request to the authentication socket.
static std::vector<std::string> receive_parts(zmq::socket_t& socket)
{
    std::vector<std::string> parts;
    zmq::message_t part;
    do {
        if (!socket.recv(part, zmq::recv_flags::dontwait))
            break;
        parts.push_back(part.to_string());
    } while (part.more());
    return parts;
}

static std::string encode_key(std::string const& binary_key)
{
    constexpr size_t encoded_size = 41;
    std::string encoded(encoded_size, '\0');
    zmq_z85_encode(encoded.data(), reinterpret_cast<u8 const*>(binary_key.data()), binary_key.size());
    encoded.pop_back();
    return encoded;
}

void PeerTransport::handle_authentication()
{
    auto parts = receive_parts(this->authentication_socket);
    if (parts.empty())
        return;
    // version, request id, domain, address, identity, mechanism, client key
    constexpr size_t expected_parts = 7;
    constexpr size_t key_bytes = 32;
    auto is_known = parts.size() == expected_parts && parts[6].size() == key_bytes
        && encode_key(parts[6]) == this->curve->public_key;
    auto request_id = parts.size() > 1 ? parts[1] : std::string();
    std::vector<std::string> reply { "1.0", request_id, is_known ? "200" : "400", is_known ? "OK" : "unknown key", "",
        "" };
    for (size_t i = 0; i < reply.size(); ++i) {
        auto flags = i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        this->authentication_socket.send(zmq::buffer(reply[i]), flags);
    }
}

zmq::socket_t& PeerTransport::socket_for(Address const& peer)
{
    auto found = this->outbound.find(peer);
    if (found != this->outbound.end())
        return found->second;
    zmq::socket_t socket(this->context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_limit_per_peer);
    // A partitioned peer acknowledges nothing; without this limit its connection would hang for minutes.
    socket.set(zmq::sockopt::tcp_maxrt, peer_silence_limit_milliseconds);
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
    this->secure(socket, false);
    socket.connect("tcp://" + peer.value());
    return this->outbound.emplace(peer, std::move(socket)).first->second;
}

void PeerTransport::send(Address const& peer, wire::Envelope envelope)
{
    auto stamp = this->event_log.stamp_outgoing();
    envelope.set_sender(this->event_log.member_id().value());
    envelope.set_sender_address(this->announced.value());
    envelope.set_wall_milliseconds(stamp.wall_milliseconds);
    envelope.set_counter(stamp.counter);
    auto frame = envelope.SerializeAsString();
    auto sent = this->socket_for(peer).send(zmq::buffer(frame), zmq::send_flags::dontwait);
    auto kind = envelope.has_gossip() ? "gossip" : "other";
    if (sent) {
        this->metrics.add("lilac_peer_messages_sent_total");
        this->metrics.add(std::string("lilac_peer_") + kind + "_bytes_sent_total", frame.size());
    } else {
        this->metrics.add("lilac_peer_messages_dropped_total");
    }
}

void PeerTransport::disconnect(Address const& peer) { this->outbound.erase(peer); }

void PeerTransport::receive_all()
{
    // Limited, so that a flood of messages does not starve timers.
    for (size_t i = 0; i < max_frames_per_iteration; ++i) {
        zmq::message_t identity;
        zmq::message_t frame;
        if (!this->inbound.recv(identity, zmq::recv_flags::dontwait))
            return;
        if (!identity.more() || !this->inbound.recv(frame, zmq::recv_flags::dontwait))
            continue;
        this->receive(frame);
    }
}

void PeerTransport::receive(zmq::message_t const& frame)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
        this->metrics.add("lilac_peer_messages_malformed_total");
        LOG_EVERY_N(WARNING, 100) << "a peer sent a frame that is not an Envelope; check that versions match";
        return;
    }
    this->metrics.add("lilac_peer_messages_received_total");
    this->event_log.observe({ envelope.wall_milliseconds(), envelope.counter() });
    if (this->handler)
        this->handler(envelope);
}

}
