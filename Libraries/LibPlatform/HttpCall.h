/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <LibHttp/Types.h>
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

/// Progress of a failed call. A request of which no byte was sent cannot have been executed.
enum class CallProgress : u8 {
    NothingSent,
    MayHaveBeenSent,
};

struct HttpFailure {
    CallProgress progress;
    std::string detail;
};

using HttpResult = boost::outcome_v2::basic_result<HttpResponse, HttpFailure, boost::outcome_v2::policy::terminate>;

/// Returns the request as a message to the address. Throws std::length_error if a field is larger than a message can
/// hold.
Http::Request to_message(Address const&, HttpRequest const&);

/// Returns the head of a request to the address, for a session of connect_http().
Poco::Net::HTTPRequest make_http_request(Address const&, HttpRequest const&);

/// Opens a connection without sending a request.
boost::outcome_v2::basic_result<std::unique_ptr<Poco::Net::HTTPClientSession>, HttpFailure,
    boost::outcome_v2::policy::terminate>
connect_http(Address const&, Duration timeout);

/// Makes one call on a new connection and reads the full response. Connecting and each wait for more of the response
/// block for up to about `timeout`. A response that is truncated, malformed or larger than the limits of
/// `Http::BackendConnection` is a failure.
HttpResult call_http(Address const&, HttpRequest const&, Duration timeout);

}
