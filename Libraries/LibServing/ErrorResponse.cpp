/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ErrorResponse.h>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <iomanip>
#include <sstream>

namespace Serving {

Http::Status status_for(Error const& error, RequestOutcome outcome)
{
    using Http::Status;
    if (outcome == RequestOutcome::NotRun)
        return error.kind == ErrorKind::OverLimit ? Status::too_many_requests : Status::service_unavailable;
    if (outcome == RequestOutcome::MayHaveRun)
        return error.kind == ErrorKind::DeadlineUnreachable ? Status::gateway_timeout : Status::bad_gateway;
    switch (error.kind) {
    case ErrorKind::Unauthenticated:
        return Status::unauthorized;
    case ErrorKind::Forbidden:
        return Status::forbidden;
    case ErrorKind::UnknownRoute:
        return Status::not_found;
    case ErrorKind::BodyTooLarge:
        return Status::payload_too_large;
    default:
        return Status::bad_request;
    }
}

bool promises_not_run(unsigned status)
{
    using Http::Status;
    switch (static_cast<Status>(status)) {
    case Status::request_timeout:
    case Status::misdirected_request:
    case Status::too_many_requests:
    case Status::service_unavailable:
        return true;
    default:
        return false;
    }
}

Error leaving_error()
{
    // Another host accepts a new connection immediately.
    static constexpr Duration retry_after = 50ms;
    return { ErrorKind::Leaving, "this host is leaving; send the request again on a new connection", retry_after };
}

/// Formats a duration in seconds with three decimals.
static std::string seconds_text(Duration duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << AK::to_seconds(duration);
    return text.str();
}

Http::Response error_response(Error const& error, RequestOutcome outcome, Http::RequestOrigin origin)
{
    Http::Response response(status_for(error, outcome), Http::http_1_1);
    if (origin == Http::RequestOrigin::Host && outcome != RequestOutcome::MayHaveRun)
        response.set(Http::not_run_field, "1");
    response.set(Http::Name::content_type, "application/json");
    if (error.retry_after)
        response.set(Http::Name::retry_after, seconds_text(*error.retry_after));
    boost::json::value const body { { "error",
        { { "type", AK::to_string(error.kind) }, { "message", error.message },
            { "may_have_run", outcome == RequestOutcome::MayHaveRun } } } };
    response.body() = boost::json::serialize(body);
    return response;
}

}
