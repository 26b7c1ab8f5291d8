/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <map>
#include <memory>
#include <string>

namespace Platform {

struct HttpResponse {
    int status { 0 };
    std::string body;
    std::map<std::string, std::string> headers;
};

struct HttpRequest {
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// How far a failed call got. A request of which no byte left cannot have been carried out.
enum class CallProgress : u8 {
    NothingSent,
    MayHaveBeenSent,
};

struct HttpFailure {
    CallProgress progress;
    std::string detail;
};

using HttpResult = boost::outcome_v2::basic_result<HttpResponse, HttpFailure, boost::outcome_v2::policy::terminate>;

/// The head of a request to `address`, for a session of connect_http().
Poco::Net::HTTPRequest make_http_request(Address const&, HttpRequest const&);

/// Opens a connection without sending anything.
boost::outcome_v2::basic_result<std::unique_ptr<Poco::Net::HTTPClientSession>, HttpFailure,
    boost::outcome_v2::policy::terminate>
connect_http(Address const&, Duration patience);

/// Makes one call on a connection of its own and reads the whole answer. Blocks for up to about `patience` at each of
/// connecting and reading. Bodies over 16 MiB are cut off as a failure.
HttpResult call_http(Address const&, HttpRequest const&, Duration patience);

}
