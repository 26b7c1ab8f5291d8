/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/AsioWatch.h>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <unistd.h>

namespace Wire {

/// ZeroMQ's descriptor tells of changes only, so that after each wake the socket's own state is asked.
class SocketWatch : public std::enable_shared_from_this<SocketWatch> {
public:
    SocketWatch(boost::asio::io_context& loop, zmq::socket_ref socket, std::function<void()> on_readable)
        : loop(loop)
        , socket(socket)
        , descriptor(loop, ::dup(socket.get(zmq::sockopt::fd)))
        , on_readable(std::move(on_readable))
    {
    }

    void serve()
    {
        if (this->has_messages()) {
            this->on_readable();
            boost::asio::post(this->loop, [self = shared_from_this()] { self->serve(); });
            return;
        }
        this->descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
            [self = shared_from_this()](boost::system::error_code error) {
                if (!error)
                    self->serve();
            });
    }

private:
    [[nodiscard]] bool has_messages() const { return (this->socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; }

    boost::asio::io_context& loop;
    zmq::socket_ref socket;
    boost::asio::posix::stream_descriptor descriptor;
    std::function<void()> on_readable;
};

PeerTransport::Watch watch_on(boost::asio::io_context& loop)
{
    return [&loop](zmq::socket_ref socket, std::function<void()> on_readable) {
        auto watch = std::make_shared<SocketWatch>(loop, socket, std::move(on_readable));
        boost::asio::post(loop, [watch] { watch->serve(); });
    };
}

}
