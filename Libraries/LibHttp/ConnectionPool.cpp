/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/ConnectionPool.h>

namespace Http {

/// Maximum number of idle connections for one address. More would only be opened in a burst and then stay unused.
static constexpr size_t max_idle_per_endpoint = 8;

std::shared_ptr<BackendConnection> ConnectionPool::acquire(tcp::endpoint const& endpoint)
{
    auto found = this->idle.find(endpoint);
    while (found != this->idle.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection->is_reusable())
            return connection;
        connection->cancel();
    }
    return this->make_new(endpoint);
}

std::shared_ptr<BackendConnection> ConnectionPool::make_new(tcp::endpoint const& endpoint)
{
    return std::make_shared<BackendConnection>(this->loop, endpoint, this->traffic);
}

void ConnectionPool::release(std::shared_ptr<BackendConnection> connection)
{
    auto& connections = this->idle[connection->peer()];
    if (connections.size() < max_idle_per_endpoint && connection->is_reusable())
        connections.push_back(std::move(connection));
    else
        connection->cancel();
}

void ConnectionPool::drop_unusable()
{
    for (auto& [endpoint, connections] : this->idle) {
        std::erase_if(connections, [](auto const& connection) {
            if (connection->is_reusable())
                return false;
            connection->cancel();
            return true;
        });
    }
    std::erase_if(this->idle, [](auto const& entry) { return entry.second.empty(); });
}

}
