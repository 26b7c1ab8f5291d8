/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerServer.h>
#include <algorithm>

namespace Http {

/// Pause before the next try when a connection cannot be accepted, as when descriptors have run out.
static constexpr Duration accept_retry_delay = 20ms;

CallerServer::CallerServer(asio::io_context& loop, tcp::endpoint endpoint, std::shared_ptr<CallerContext> context)
    : acceptor(loop, endpoint, true)
    , retry_timer(loop)
    , context(std::move(context))
{
    this->accept();
}

void CallerServer::accept()
{
    this->acceptor.async_accept([this](beast::error_code error, tcp::socket socket) {
        // A connection that was accepted before the acceptor was closed has its turn only now.
        if (!error)
            this->serve(std::move(socket));
        if (!this->is_accepting())
            return;
        if (error)
            return this->accept_later(error);
        this->accept();
    });
}

void CallerServer::accept_later(beast::error_code error)
{
    // A new caller has a request; a connection that rests may never have another.
    bool const is_out_of_descriptors = error == boost::system::errc::too_many_files_open
        || error == boost::system::errc::too_many_files_open_in_system;
    if (is_out_of_descriptors)
        this->close_idle_connections(CloseReason::CapacityNeeded);
    this->retry_timer.expires_after(accept_retry_delay);
    this->retry_timer.async_wait([this](beast::error_code timer_error) {
        if (!timer_error && this->is_accepting())
            this->accept();
    });
}

void CallerServer::serve(tcp::socket socket)
{
    auto connection = std::make_shared<CallerConnection>(std::move(socket), this->context);
    std::erase_if(this->connections, [](auto const& known) { return known.expired(); });
    this->connections.push_back(connection);
    connection->start();
}

void CallerServer::stop_accepting()
{
    if (!this->is_accepting())
        return;
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    // What waits to be accepted would be reset by the close, with its requests.
    while (!error) {
        auto socket = this->acceptor.accept(error);
        if (!error)
            this->serve(std::move(socket));
    }
    this->acceptor.close(error);
}

void CallerServer::close_idle_connections(CloseReason reason)
{
    for (auto const& known : this->connections) {
        if (auto connection = known.lock())
            connection->close_if_idle(reason);
    }
}

size_t CallerServer::open_connections() const
{
    return static_cast<size_t>(std::ranges::count_if(this->connections, [](auto const& known) {
        auto connection = known.lock();
        return connection && connection->is_open();
    }));
}

}
