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

/// The callers' HTTP server: a thread for each connection that is being served.
class CallerFrontend {
public:
    /// Throws Poco::Exception when the address cannot be bound or the TLS files cannot be read.
    CallerFrontend(GatewayLoop&, GatewaySettings const&);
    ~CallerFrontend();

    /// Accepts no more connections; open requests run on.
    void stop_accepting();
    /// The port in use, for when the settings say 0.
    [[nodiscard]] u16 port() const { return this->server->port(); }

private:
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
