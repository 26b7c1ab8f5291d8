/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/PeerTransport.h>
#include <catch2/catch.hpp>
#include <unistd.h>

static Address address_of(int port)
{
    auto pid = static_cast<unsigned>(getpid());
    return Address("127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(1 + pid % 250)
        + ".9:" + std::to_string(port));
}

static Wire::CurveKeys generate_keys()
{
    constexpr size_t key_size = 41;
    char public_key[key_size];
    char secret_key[key_size];
    REQUIRE(zmq_curve_keypair(public_key, secret_key) == 0);
    return { public_key, secret_key };
}

struct Peer {
    Peer(std::string const& name, int port, std::optional<Wire::CurveKeys> keys)
        : log(MemberId(name))
        , transport(this->loop, this->log, this->metrics, address_of(port), std::move(keys))
    {
        this->transport.on_message([this](wire::Envelope const& envelope) {
            this->seen.push_back(envelope.sender());
            this->loop.stop();
        });
    }

    Core::EventLoop loop;
    Core::EventLog log;
    Core::Metrics metrics;
    Wire::PeerTransport transport;
    std::vector<std::string> seen;
};

static wire::Envelope message()
{
    wire::Envelope envelope;
    envelope.mutable_backend_servers_fetch();
    return envelope;
}

SCENARIO("processes exchange messages, and the receiver's clock follows the sender's")
{
    Peer sender("gateway-1", 7801, {});
    Peer receiver("router-1", 7802, {});
    sender.transport.send(address_of(7802), message());
    receiver.loop.run();
    CHECK(receiver.seen == std::vector<std::string> { "gateway-1" });
    CHECK(receiver.log.stamp_outgoing() > Core::HybridStamp());
}

SCENARIO("messages are accepted only from processes with the deployment's keys")
{
    auto keys = generate_keys();
    Peer receiver("router-1", 7803, keys);
    Peer stranger("stranger", 7804, generate_keys());
    Peer without_keys("without-keys", 7805, {});
    Peer own("gateway-1", 7806, keys);
    // The spy knows the deployment's public key, which is not secret, but not the secret key.
    zmq::context_t context;
    zmq::socket_t spy(context, zmq::socket_type::dealer);
    auto spy_keys = generate_keys();
    spy.set(zmq::sockopt::linger, 0);
    spy.set(zmq::sockopt::curve_publickey, spy_keys.public_key);
    spy.set(zmq::sockopt::curve_secretkey, spy_keys.secret_key);
    spy.set(zmq::sockopt::curve_serverkey, keys.public_key);
    spy.connect("tcp://" + address_of(7803).value());
    auto frame = message();
    frame.set_sender("spy");
    spy.send(zmq::buffer(frame.SerializeAsString()), zmq::send_flags::dontwait);
    stranger.transport.send(address_of(7803), message());
    without_keys.transport.send(address_of(7803), message());
    own.transport.send(address_of(7803), message());
    // Wait for several messages, so that messages of the others have had time to arrive.
    receiver.transport.on_message([&](wire::Envelope const& envelope) {
        receiver.seen.push_back(envelope.sender());
        if (receiver.seen.size() == 20)
            receiver.loop.stop();
        else
            own.transport.send(address_of(7803), message());
    });
    receiver.loop.run();
    CHECK(receiver.seen == std::vector<std::string>(20, "gateway-1"));
}

SCENARIO("a malformed frame is counted and dropped")
{
    Peer receiver("router-1", 7807, {});
    Peer sender("gateway-1", 7808, {});
    zmq::context_t context;
    zmq::socket_t raw(context, zmq::socket_type::dealer);
    raw.set(zmq::sockopt::linger, 0);
    raw.connect("tcp://" + address_of(7807).value());
    raw.send(zmq::str_buffer("\xff\xff\xff"), zmq::send_flags::none);
    receiver.loop.every(5ms, [&] {
        if (receiver.metrics.counter("lilac_peer_messages_malformed_total") > 0)
            sender.transport.send(address_of(7807), message());
    });
    receiver.loop.run();
    CHECK(receiver.seen == std::vector<std::string> { "gateway-1" });
}
