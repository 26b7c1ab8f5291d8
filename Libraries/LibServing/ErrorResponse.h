/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibHttp/Types.h>

namespace Serving {

/// What a caller may conclude from an answer that the system gives in place of a backend server's.
enum class RequestOutcome : u8 {
    /// The request has not run and will not; it may be sent again.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It is not acceptable as it stands.
    NotAcceptable,
};

/// Status of an error: 503 or 429 only where the request has not run.
Http::Status status_for(Error const&, RequestOutcome);

/// An answer that the system gives itself. The body names the error's kind and the remedy; Retry-After is in seconds.
Http::Response error_response(Error const&, RequestOutcome);

}
