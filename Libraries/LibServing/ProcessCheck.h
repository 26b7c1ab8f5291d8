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

/// What a connection to a backend server's address tells of its process.
enum class ProcessState : u8 {
    /// Nothing listens there any more.
    Terminated,
    /// Something accepts connections.
    Listening,
    /// No answer: it may be cut off.
    Unknown,
};

std::string_view to_string(ProcessState);

/// Finds out, once a connection has broken off, whether the backend server's process has ended or that connection only.
/// Of all the requests that one backend server breaks off at once the first one asks, and all are told.
class ProcessCheck {
public:
    using OnState = std::function<void(ProcessState)>;

    explicit ProcessCheck(boost::asio::io_context& loop)
        : loop(loop)
    {
    }

    /// Calls back once, not before this returns.
    void query(Backend const&, OnState);

private:
    /// A host that lives answers within its round trip, a lossy link may take a second packet.
    static constexpr Duration timeout = 400ms;

    void connect(Http::tcp::endpoint const&);
    void complete(Http::tcp::endpoint const&, ProcessState);

    boost::asio::io_context& loop;
    std::map<Http::tcp::endpoint, std::vector<OnState>> waiting;
    Core::HandlerGuard guard;
};

}
