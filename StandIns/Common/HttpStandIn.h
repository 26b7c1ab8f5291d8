/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace StandIns {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/// An HTTP server on one address that passes every request to one handler function. Uses one thread per connection.
class HttpStandIn {
public:
    HttpStandIn(Address const& listen, HttpHandler handler);
    ~HttpStandIn();
    /// The bound port; differs from the configured one if that is 0.
    [[nodiscard]] u16 port() const { return this->server->port(); }
    [[nodiscard]] Address address() const { return Address("127.0.0.1:" + std::to_string(this->port())); }

private:
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

std::string read_body(Poco::Net::HTTPServerRequest&);
std::map<std::string, std::string> query_of(Poco::Net::HTTPServerRequest const&);
std::string path_of(Poco::Net::HTTPServerRequest const&);
void send_response(Poco::Net::HTTPServerResponse&, int status, std::string const& body,
    std::map<std::string, std::string> const& headers = {});
/// Closes the connection without sending a response.
void close_connection(Poco::Net::HTTPServerRequest&);

}
