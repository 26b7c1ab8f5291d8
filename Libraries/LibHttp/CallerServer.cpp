/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerServer.h>
#include <algorithm>

namespace Http {

/// Delay before the next attempt when a connection cannot be accepted, for example when file descriptors run out.
static constexpr Duration accept_retry_delay = 20ms;

CallerServer::CallerServer(asio::io_context& loop, tcp::endpoint endpoint, std::shared_ptr<CallerContext> context)
    : acceptor(loop, endpoint, true)
    , retry_timer(loop)
    , context(std::move(context))
{
    this->context->on_budget_exceeded = this->guard.wrap([this, &loop] {
        // The connection that exceeds the budget is in use by its caller at this point.
        if (!std::exchange(this->is_relieving, true))
            asio::post(loop, this->guard.wrap([this] { this->relieve_memory(); }));
    });
    this->accept();
}

void CallerServer::relieve_memory()
{
    this->is_relieving = false;
    while (this->context->output_budget && this->context->output_budget->is_exceeded()) {
        auto slowest = this->slowest_reader();
        if (!slowest)
            return;
        slowest->close_as_slowest_reader();
    }
}

std::shared_ptr<CallerConnection> CallerServer::slowest_reader() const
{
    auto const key = [](CallerConnection const& connection) {
        bool const is_above_minimum = Overload::OutputBudget::is_above_minimum(connection.unsent_bytes());
        return std::pair(is_above_minimum, connection.unread_for());
    };
    std::shared_ptr<CallerConnection> slowest;
    for (auto const& known : this->connections) {
        auto connection = known.lock();
        if (!connection || !connection->is_open() || connection->unsent_bytes() == 0)
            continue;
        if (!slowest || key(*connection) > key(*slowest))
            slowest = connection;
    }
    return slowest;
}

void CallerServer::accept()
{
    this->acceptor.async_accept([this](beast::error_code error, tcp::socket socket) {
        // This handler may run after the acceptor was closed, for a connection that was accepted before.
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
    // A new caller has a request to send, but an idle connection may never carry another.
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
    // Closing the acceptor would reset connections that are still in its backlog, together with their requests.
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
