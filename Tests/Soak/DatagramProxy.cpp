/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/DatagramProxy.h>

namespace Soak {

static Http::asio::ip::udp::endpoint datagram_endpoint(Http::tcp::endpoint const& endpoint)
{
    return { endpoint.address(), endpoint.port() };
}

DatagramProxy::DatagramProxy(Http::asio::io_context& loop, Http::tcp::endpoint listen, Http::tcp::endpoint target)
    : loop(loop)
    , listen(listen)
    , target(target)
    , socket(loop, datagram_endpoint(listen))
{
    this->receive();
}

void DatagramProxy::set_slow_and_lossy(Duration new_delay, u32 drop_one_in)
{
    this->delay = new_delay;
    this->dropped_one_in = drop_one_in;
}

void DatagramProxy::heal()
{
    this->drops_all = false;
    this->set_slow_and_lossy(0s, 0);
}

void DatagramProxy::receive()
{
    this->socket.async_receive_from(
        Http::asio::buffer(this->buffer), this->sender, [this](boost::system::error_code error, size_t size) {
            if (error == Http::asio::error::operation_aborted)
                return;
            bool const is_dropped = this->dropped_one_in > 0 && ++this->count % this->dropped_one_in == 0;
            if (!error && !this->drops_all && !is_dropped)
                this->forward({ this->buffer.data(), size });
            this->receive();
        });
}

void DatagramProxy::forward(std::string datagram)
{
    auto send = [this, datagram = std::move(datagram)] {
        boost::system::error_code ignored;
        this->socket.send_to(Http::asio::buffer(datagram), datagram_endpoint(this->target), 0, ignored);
    };
    if (this->delay == 0s)
        return send();
    auto timer = std::make_shared<AK::Timer>(this->loop, this->delay);
    timer->async_wait([timer, send](boost::system::error_code error) {
        if (!error)
            send();
    });
}

}
