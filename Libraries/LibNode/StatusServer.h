/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <Poco/Net/HTTPServer.h>
#include <memory>

namespace Node {

/// Serves the health, metrics and events of one daemon over HTTP: /health/live, /health/ready, /metrics, /events. The
/// handlers run on separate threads and read only state that is safe to read from any thread.
class StatusServer {
public:
    /// Throws Poco::Exception when the address cannot be bound.
    explicit StatusServer(Node&);
    ~StatusServer();

private:
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
