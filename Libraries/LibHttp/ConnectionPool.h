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

/// Persistent connections to backend servers, by address.
class ConnectionPool {
public:
    explicit ConnectionPool(asio::io_context& loop)
        : loop(loop)
        , traffic(std::make_shared<Traffic>())
    {
    }

    /// Returns an idle connection if one is reusable, otherwise a new one that connects with its first exchange.
    std::shared_ptr<BackendConnection> acquire(tcp::endpoint const&);
    /// Returns a new connection for a single exchange, so that closing it cancels only that exchange.
    std::shared_ptr<BackendConnection> make_new(tcp::endpoint const&);
    /// Returns the connection to the pool if it is reusable, and closes it otherwise.
    void release(std::shared_ptr<BackendConnection>);
    /// What all connections of this pool have carried.
    [[nodiscard]] std::shared_ptr<Traffic> const& traffic_counters() const { return this->traffic; }
    /// Closes idle connections that are no longer reusable.
    void drop_unusable();

private:
    asio::io_context& loop;
    std::shared_ptr<Traffic> traffic;
    std::map<tcp::endpoint, std::vector<std::shared_ptr<BackendConnection>>> idle;
};

}
