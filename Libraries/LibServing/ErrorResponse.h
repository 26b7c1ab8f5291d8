/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/Types.h>

namespace Serving {

/// Whether a request has run, as reported to the caller with an error response of this host.
enum class RequestOutcome : u8 {
    /// The request has not run and will not run. The caller may send it again.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request is invalid and must be changed before it is sent again.
    NotAcceptable,
};

/// Returns the HTTP status of an error. 503 and 429 are used only if the request has not run.
Http::Status status_for(Error const&, RequestOutcome);

/// Whether callers take this status for the promise that their request has not run. Only a host that is certain of it
/// may send one.
[[nodiscard]] bool promises_not_run(unsigned status);

/// The refusal of a request that has not run, because this host is stopping.
Error leaving_error();

/// Builds an error response of this host. Its body has the kind of the error and a message that names the
/// remedy. Retry-After is in seconds. A response to another host tells it if the request has not run.
Http::Response error_response(Error const&, RequestOutcome, Http::RequestOrigin);

}
