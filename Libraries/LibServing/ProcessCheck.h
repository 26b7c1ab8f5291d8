/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/HandlerGuard.h>
#include <LibServing/BackendTable.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>

namespace Serving {

/// What a connection attempt to a backend server's address shows about its process.
enum class ProcessState : u8 {
    /// The connection was refused: nothing listens at the address any more.
    Terminated,
    /// A process accepts connections.
    Listening,
    /// There was no response. The server may be partitioned.
    Unknown,
};

std::string_view to_string(ProcessState);

/// Determines after a broken connection whether the backend server's process has terminated or only the connection has.
/// If several requests to a backend server break off at once, the first one starts a check, and its result is passed to
/// all of them.
class ProcessCheck {
public:
    using OnState = std::function<void(ProcessState)>;

    explicit ProcessCheck(boost::asio::io_context& loop)
        : loop(loop)
    {
    }

    /// Calls back exactly once, never before this returns.
    void query(Backend const&, OnState);

private:
    /// A running host responds within one round trip. A lossy link may need a second packet.
    static constexpr Duration timeout = 400ms;

    void connect(Http::tcp::endpoint const&);
    void complete(Http::tcp::endpoint const&, ProcessState);

    boost::asio::io_context& loop;
    std::map<Http::tcp::endpoint, std::vector<OnState>> waiting;
    Core::HandlerGuard guard;
};

}
