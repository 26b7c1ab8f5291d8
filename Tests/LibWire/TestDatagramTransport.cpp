/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/DatagramTransport.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>

using Wire::DatagramTransport;

struct Member {
    Member(boost::asio::io_context& loop, std::string const& name)
        : address(Test::text_of(Test::free_endpoint()))
        , transport(loop, this->metrics, MemberId(name), this->address)
    {
        this->transport.on_message([this](wire::Envelope const& envelope) { this->seen.push_back(envelope.sender()); });
    }

    Core::Metrics metrics;
    Address address;
    DatagramTransport transport;
    std::vector<std::string> seen;
};

static wire::Envelope message()
{
    wire::Envelope envelope;
    envelope.mutable_news_fetch()->set_table("servers");
    return envelope;
}

SCENARIO("hosts exchange datagrams")
{
    boost::asio::io_context loop;
    Member first(loop, "host-1");
    Member second(loop, "host-2");
    Member third(loop, "host-3");
    std::vector const both { second.address, third.address };
    first.transport.send(both, message());
    Test::run_until(loop, [&] { return !second.seen.empty() && !third.seen.empty(); });
    CHECK(second.seen == std::vector<std::string> { "host-1" });
    CHECK(first.metrics.counter("lilac_peer_messages_sent_total") == 2);

    WHEN("a peer's port is closed")
    {
        first.transport.send(Address(Test::text_of(Test::free_endpoint())), message());
        THEN("other peers are still reachable")
        {
            first.transport.send(second.address, message());
            Test::run_until(loop, [&] { return second.seen.size() == 2; });
        }
    }
    WHEN("a message is larger than a datagram")
    {
        auto large = message();
        large.mutable_news_fetch()->set_table(std::string(70'000, 'x'));
        first.transport.send(second.address, large);
        CHECK(first.metrics.counter("lilac_peer_messages_oversized_total") == 1);
    }
    WHEN("malformed datagrams arrive")
    {
        boost::asio::ip::udp::socket stranger(loop, boost::asio::ip::udp::v4());
        auto const target = *Http::parse_endpoint(second.address.value());
        auto send_to_second = [&](std::string const& bytes) {
            stranger.send_to(boost::asio::buffer(bytes), { target.address(), target.port() });
        };
        wire::Envelope without_sender = message();
        wire::Envelope empty;
        empty.set_sender("host-9");
        empty.set_sender_address("10.0.0.9:7200");
        wire::Envelope without_address = message();
        without_address.set_sender("host-9");
        without_address.set_sender_address("nowhere");
        send_to_second("GET / HTTP/1.1");
        send_to_second(without_sender.SerializeAsString());
        send_to_second(without_address.SerializeAsString());
        send_to_second(empty.SerializeAsString());
        send_to_second(std::string(62'000, 'x'));
        Test::run_until(loop, [&] { return second.metrics.counter("lilac_peer_messages_malformed_total") == 5; });
        THEN("they are counted and dropped, and valid messages still arrive")
        {
            CHECK(second.seen.size() == 1);
            first.transport.send(second.address, message());
            Test::run_until(loop, [&] { return second.seen.size() == 2; });
        }
    }
}
