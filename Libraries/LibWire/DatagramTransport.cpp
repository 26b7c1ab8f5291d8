/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/DatagramTransport.h>
#include <charconv>
#include <glog/logging.h>
#include <optional>
#include <stdexcept>

namespace Wire {

/// Limits the datagrams read per event loop iteration, so that a flood of messages does not starve timers.
static constexpr size_t max_datagrams_per_iteration = 256;
/// Minimum interval between log lines about malformed datagrams of one sender, which usually sends many of them.
static constexpr Duration malformed_log_interval = 1min;
/// Maximum number of senders whose last log line is remembered.
static constexpr size_t max_logged_senders = 256;

static std::optional<boost::asio::ip::udp::endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    u16 port = 0;
    auto const* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end)
        return {};
    return boost::asio::ip::udp::endpoint(address, port);
}

DatagramTransport::DatagramTransport(
    boost::asio::io_context& loop, Core::Metrics& metrics, MemberId member, Address const& listen)
    : metrics(metrics)
    , member(std::move(member))
    , announced(listen)
    , socket(loop)
{
    auto endpoint = parse_endpoint(listen.value());
    if (!endpoint)
        throw std::runtime_error(listen.value() + " is not a valid listen address for other hosts; use ip:port");
    this->socket.open(endpoint->protocol());
    this->socket.bind(*endpoint);
    this->socket.non_blocking(true);
    this->await_datagrams();
}

DatagramTransport::Udp::endpoint const* DatagramTransport::endpoint_of(Address const& peer)
{
    auto known = this->endpoints.find(peer);
    if (known != this->endpoints.end())
        return &known->second;
    auto parsed = parse_endpoint(peer.value());
    if (!parsed)
        return nullptr;
    return &this->endpoints.emplace(peer, *parsed).first->second;
}

void DatagramTransport::send(std::span<Address const> peers, wire::Envelope envelope)
{
    envelope.set_sender(this->member.value());
    envelope.set_sender_address(this->announced.value());
    auto const datagram = envelope.SerializeAsString();
    if (datagram.size() > max_datagram_bytes) {
        this->metrics.add("lilac_peer_messages_oversized_total");
        LOG_EVERY_N(ERROR, 100) << "a message of " << datagram.size()
                                << " bytes to other hosts is larger than a datagram; make the failure domain smaller";
        return;
    }
    for (auto const& peer : peers) {
        auto const* endpoint = this->endpoint_of(peer);
        if (!endpoint)
            continue;
        boost::system::error_code error;
        this->socket.send_to(boost::asio::buffer(datagram), *endpoint, 0, error);
        if (error) {
            this->metrics.add("lilac_peer_messages_dropped_total");
            continue;
        }
        this->metrics.add("lilac_peer_messages_sent_total");
        this->metrics.add("lilac_peer_bytes_sent_total", datagram.size());
    }
}

void DatagramTransport::await_datagrams()
{
    this->socket.async_wait(Udp::socket::wait_read, this->guard.wrap([this](boost::system::error_code error) {
        if (error)
            return;
        this->receive_all();
        this->await_datagrams();
    }));
}

void DatagramTransport::receive_all()
{
    for (size_t i = 0; i < max_datagrams_per_iteration; ++i) {
        Udp::endpoint sender;
        boost::system::error_code error;
        auto size = this->socket.receive_from(boost::asio::buffer(this->buffer), sender, 0, error);
        if (error == boost::asio::error::would_block)
            return;
        // An earlier datagram to a closed port is reported here as an error. Further datagrams may be queued.
        if (!error)
            this->receive({ this->buffer.data(), size }, sender);
    }
}

void DatagramTransport::receive(std::string_view datagram, Udp::endpoint const& sender)
{
    wire::Envelope envelope;
    if (datagram.size() > max_datagram_bytes)
        return this->reject("is too large", sender);
    if (!envelope.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return this->reject("is not a message of this system", sender);
    if (envelope.sender().empty() || !parse_endpoint(envelope.sender_address()))
        return this->reject("does not identify its sender", sender);
    if (envelope.body_case() == wire::Envelope::BODY_NOT_SET)
        return this->reject("has a type that this version does not know", sender);
    this->metrics.add("lilac_peer_messages_received_total");
    if (this->handler)
        this->handler(envelope);
}

void DatagramTransport::reject(std::string_view reason, Udp::endpoint const& sender)
{
    this->metrics.add("lilac_peer_messages_malformed_total");
    auto const now = AK::BootClock::now();
    if (this->last_logged.size() >= max_logged_senders)
        this->last_logged.clear();
    auto [entry, is_new] = this->last_logged.try_emplace(sender, now);
    if (!is_new && now - entry->second < malformed_log_interval)
        return;
    entry->second = now;
    LOG(WARNING) << "a datagram from " << sender << ' ' << reason << "; check what sends to this port, and its version";
}

}
