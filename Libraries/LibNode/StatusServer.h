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

/// Health, metrics and the time line of one daemon over HTTP: /health/live, /health/ready, /metrics, /events. Its
/// handlers run on threads of their own and read only what is safe to read from any thread.
class StatusServer {
public:
    /// Throws Poco::Exception when the address cannot be bound.
    explicit StatusServer(Node&);
    ~StatusServer();

private:
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
