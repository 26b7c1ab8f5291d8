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
/// Connections that are closed in one turn of the event loop. Closing them must leave time for the requests that were
/// read; callers of the others give up by themselves.
static constexpr size_t max_closed_at_once = 16;
/// One in this many unfinished requests is shed at a time when file descriptors run out.
static constexpr size_t shed_part_for_connections = 16;

CallerServer::Listener::Listener(asio::io_context& loop, tcp::endpoint const& endpoint, RequestOrigin origin)
    : acceptor(loop, endpoint, true)
    , retry_timer(loop)
    , origin(origin)
{
}

CallerServer::CallerServer(asio::io_context& loop, tcp::endpoint endpoint, std::shared_ptr<CallerContext> context)
    : loop(loop)
    , context(std::move(context))
{
    this->context->on_budget_exceeded = this->guard.wrap([this, &loop] {
        // The connection that exceeds the budget is in use by its caller at this point.
        if (!std::exchange(this->is_relieving, true))
            asio::post(loop, this->guard.wrap([this] { this->relieve_memory(); }));
    });
    this->context->on_requests_exceed_memory = this->guard.wrap([this, &loop] {
        if (!std::exchange(this->is_shedding, true))
            asio::post(loop, this->guard.wrap([this] { this->shed_requests(); }));
    });
    this->accept(this->listeners.emplace_back(loop, endpoint, RequestOrigin::Caller));
}

void CallerServer::accept_hosts_at(tcp::endpoint endpoint)
{
    this->accept(this->listeners.emplace_back(this->loop, endpoint, RequestOrigin::Host));
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

std::vector<std::shared_ptr<CallerConnection>> CallerServer::unfinished_requests() const
{
    std::vector<std::pair<Overload::ReceiveState, std::shared_ptr<CallerConnection>>> unfinished;
    auto const now = AK::BootClock::now();
    for (auto const& known : this->connections) {
        auto connection = known.lock();
        if (auto const state = connection ? connection->receive_state(now) : std::nullopt)
            unfinished.emplace_back(*state, std::move(connection));
    }
    std::ranges::stable_sort(
        unfinished, [](auto const& one, auto const& other) { return is_shed_before(one.first, other.first); });
    std::vector<std::shared_ptr<CallerConnection>> result;
    result.reserve(unfinished.size());
    for (auto& [state, connection] : unfinished)
        result.push_back(std::move(connection));
    return result;
}

void CallerServer::shed_requests()
{
    this->is_shedding = false;
    for (auto const& connection : this->unfinished_requests()) {
        if (connection->must_be_shed())
            connection->shed_request("this host has no memory left for a request of this size; send it again");
    }
}

void CallerServer::make_room_for_connections()
{
    auto const open_before = this->open_connections();
    this->close_idle_connections(CloseReason::CapacityNeeded);
    if (this->open_connections() < open_before)
        return;
    auto const unfinished = this->unfinished_requests();
    auto const shed = std::min(unfinished.size(), unfinished.size() / shed_part_for_connections + 1);
    for (size_t i = 0; i < shed; ++i)
        unfinished[i]->shed_request("this host has no room left for more connections; send the request again");
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

void CallerServer::accept(Listener& listener)
{
    listener.acceptor.async_accept([this, &listener](beast::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        // This handler may run after the acceptor was closed, for a connection that was accepted before.
        if (!error)
            this->serve(std::move(socket), listener.origin);
        if (!listener.acceptor.is_open())
            return;
        if (error)
            return this->accept_later(listener, error);
        if (listener.origin == RequestOrigin::Caller)
            this->close_waiting(listener);
        this->accept(listener);
    });
}

void CallerServer::accept_later(Listener& listener, beast::error_code error)
{
    // A new caller has a request to send, but an idle connection may never carry another.
    bool const is_out_of_descriptors = error == boost::system::errc::too_many_files_open
        || error == boost::system::errc::too_many_files_open_in_system;
    if (is_out_of_descriptors)
        this->make_room_for_connections();
    listener.retry_timer.expires_after(accept_retry_delay);
    listener.retry_timer.async_wait([this, &listener](beast::error_code timer_error) {
        if (!timer_error && listener.acceptor.is_open())
            this->accept(listener);
    });
}

void CallerServer::serve(tcp::socket socket, RequestOrigin origin)
{
    auto connection = std::make_shared<CallerConnection>(std::move(socket), this->context, origin);
    std::erase_if(this->connections, [](auto const& known) { return known.expired(); });
    this->connections.push_back(connection);
    ++this->context->traffic->connections_accepted;
    connection->start();
}

void CallerServer::close_waiting(Listener& listener)
{
    boost::system::error_code error;
    listener.acceptor.non_blocking(true, error);
    for (size_t closed = 0; closed < max_closed_at_once && this->context->is_overloaded(); ++closed) {
        auto socket = listener.acceptor.accept(error);
        if (error)
            return;
        ++this->context->traffic->connections_accepted;
        ++this->context->traffic->connections_not_read;
    }
}

void CallerServer::stop_accepting()
{
    for (auto& listener : this->listeners)
        this->stop_accepting(listener);
}

void CallerServer::stop_accepting(Listener& listener)
{
    if (!listener.acceptor.is_open())
        return;
    boost::system::error_code error;
    listener.acceptor.non_blocking(true, error);
    // Closing the acceptor would reset connections that are still in its backlog, together with their requests.
    while (!error) {
        auto socket = listener.acceptor.accept(error);
        if (!error)
            this->serve(std::move(socket), listener.origin);
    }
    listener.acceptor.close(error);
}

void CallerServer::close_idle_connections(CloseReason reason)
{
    for (auto const& known : this->connections) {
        if (auto connection = known.lock())
            connection->close_if_idle(reason);
    }
}

void CallerServer::reject_incomplete_requests()
{
    for (auto const& known : this->connections) {
        if (auto connection = known.lock())
            connection->reject_if_incomplete();
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
