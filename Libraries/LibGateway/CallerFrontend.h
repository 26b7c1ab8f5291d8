/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibGateway/GatewayLoop.h>
#include <LibGateway/GatewaySettings.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Gateway {

/// The HTTP server for callers. Uses one thread per connection that is being served.
class CallerFrontend {
public:
    /// Throws Poco::Exception if the address cannot be bound or the TLS files cannot be read.
    CallerFrontend(GatewayLoop&, GatewaySettings const&);
    ~CallerFrontend();

    /// Stops accepting connections; open requests continue.
    void stop_accepting();
    /// The bound port; differs from the configured one if that is 0.
    [[nodiscard]] u16 port() const { return this->server->port(); }

private:
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
