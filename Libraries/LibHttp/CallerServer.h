/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibCore/HandlerGuard.h>
#include <LibHttp/CallerConnection.h>
#include <list>
#include <vector>

namespace Http {

/// Accepts connections of callers on one address, and of other hosts that forward requests on another one.
class CallerServer {
public:
    CallerServer(asio::io_context&, tcp::endpoint, std::shared_ptr<CallerContext>);

    /// Also accepts connections of other hosts.
    void accept_hosts_at(tcp::endpoint);
    /// Accepts the connections that callers have already opened, and no more. Open connections are still served.
    void stop_accepting();
    [[nodiscard]] bool is_accepting() const { return this->listeners.front().acceptor.is_open(); }
    /// Closes connections without a request in progress. A request that has arrived, even unread, keeps its connection
    /// open.
    void close_idle_connections(CloseReason);
    /// Rejects the requests that have not been received in full, because this process is about to end.
    void reject_incomplete_requests();
    /// Number of open connections. After stop_accepting() and one more event loop iteration, 0 means that no caller is
    /// waiting for a response.
    [[nodiscard]] size_t open_connections() const;

private:
    struct Listener {
        Listener(asio::io_context&, tcp::endpoint const&, RequestOrigin);

        tcp::acceptor acceptor;
        AK::Timer retry_timer;
        RequestOrigin origin;
    };

    void accept(Listener&);
    /// Accepts again after a delay. Makes room first when file descriptors have run out.
    void accept_later(Listener&, beast::error_code);
    void serve(tcp::socket, RequestOrigin);
    /// Accepts and closes the connections that wait to be accepted while this host is overloaded. Otherwise each would
    /// wait for its turn on the event loop before its caller learns that it should use another host.
    void close_waiting(Listener&);
    void stop_accepting(Listener&);
    /// Disconnects the slowest readers until the unsent bytes of all callers are within the budget.
    void relieve_memory();
    [[nodiscard]] std::shared_ptr<CallerConnection> slowest_reader() const;
    /// Rejects unfinished requests, those first that progress least for the memory that they hold, until the requests
    /// of all callers are within the budget.
    void shed_requests();
    /// Closes idle connections, as file descriptors have run out. Where there are none, rejects some unfinished
    /// requests, whose connections can be closed next.
    void make_room_for_connections();
    /// The connections with an unfinished request, those first that are shed first.
    [[nodiscard]] std::vector<std::shared_ptr<CallerConnection>> unfinished_requests() const;

    asio::io_context& loop;
    /// That for callers, and that for other hosts if there is one.
    std::list<Listener> listeners;
    std::shared_ptr<CallerContext> context;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    bool is_relieving { false };
    bool is_shedding { false };
    Core::HandlerGuard guard;
};

}
