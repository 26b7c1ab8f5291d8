/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Types.h>
#include <Tests/Soak/SharedLink.h>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// Forwards TCP connections on loopback, and on demand delays their bytes, holds them in one direction or both, or
/// resets the connections. Held bytes are delivered once the fault is over, as after a partition.
class FaultProxy {
public:
    enum class Direction : u8 {
        ToTarget,
        FromTarget,
    };

    /// Throws boost::system::system_error when `listen` cannot be bound.
    FaultProxy(Http::asio::io_context&, Http::tcp::endpoint listen, Http::tcp::endpoint target);
    ~FaultProxy();

    [[nodiscard]] Http::tcp::endpoint const& endpoint() const { return this->listen; }
    [[nodiscard]] Http::tcp::endpoint const& target_endpoint() const { return this->target; }
    /// Delays each chunk of bytes that is read from now on.
    void set_delay(Duration);
    /// Sends all bytes in this direction through a link that may be shared with other proxies.
    void set_link(Direction, std::shared_ptr<SharedLink>);
    /// Sends a response that nobody has asked for on each connection that has carried a whole exchange and awaits the
    /// response to another request.
    void send_stray_response(std::string const& bytes);
    /// From now on, delays the last `size` bytes of each chunk to the target after the rest of it.
    void set_tail(size_t size, Duration delay);
    /// Forwards neither bytes nor the end of a connection in this direction.
    void hold(Direction);
    void hold_all();
    /// Resets all open connections; new ones are still accepted.
    void reset_all();
    /// New connections are refused. Open ones are kept.
    void refuse_connections();
    /// New connections get no response. Open ones are kept.
    void ignore_connections();
    /// Ends every fault, delivers the held bytes and accepts connections.
    void heal();

private:
    struct State {
        Duration delay { 0 };
        std::array<std::shared_ptr<SharedLink>, 2> shared_links {};
        std::array<bool, 2> is_held {};
        size_t tail_size { 0 };
        Duration tail_delay { 0 };
    };
    class Link;

    void accept();
    void listen_with_queue_of(int connections);

    Http::asio::io_context& loop;
    Http::tcp::endpoint listen;
    Http::tcp::endpoint target;
    Http::tcp::acceptor acceptor;
    /// Fills the queue of the acceptor while connections are ignored.
    std::optional<Http::tcp::socket> filler;
    std::shared_ptr<State> state;
    std::vector<std::weak_ptr<Link>> links;
};

}
