/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/BackendConnection.h>
#include <map>
#include <vector>

namespace Http {

/// Kept connections to backend servers, by address.
class ConnectionPool {
public:
    explicit ConnectionPool(asio::io_context& loop)
        : loop(loop)
    {
    }

    /// A kept connection if one is fit for use, else a new one that connects with its first exchange.
    std::shared_ptr<BackendConnection> acquire(tcp::endpoint const&);
    /// A connection of its own for one exchange, so that closing it ends the work of that exchange alone.
    std::shared_ptr<BackendConnection> make_new(tcp::endpoint const&);
    /// Keeps the connection for the next request if that is possible.
    void release(std::shared_ptr<BackendConnection>);
    /// Drops kept connections that have become useless.
    void drop_unusable();

private:
    asio::io_context& loop;
    std::map<tcp::endpoint, std::vector<std::shared_ptr<BackendConnection>>> idle;
};

}
