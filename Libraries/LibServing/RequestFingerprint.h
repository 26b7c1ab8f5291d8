/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/Types.h>
#include <span>
#include <string>
#include <string_view>

namespace Serving {

/// Identifies a request across retries, through any host and under any attempt, by what its caller resends unchanged:
/// organisation, method, host, path and body. Requests of two organisations never have equal fingerprints, whatever
/// their contents.
struct RequestFingerprint {
    OrganisationId organisation;
    /// Hash of the organisation, method, host, path and body.
    u64 digest { 0 };

    auto operator<=>(RequestFingerprint const&) const = default;
};

RequestFingerprint fingerprint_of(Http::Request const&, OrganisationId const&);

/// Identifies a part of a prompt in all requests of one organisation.
RequestFingerprint fingerprint_of_part(std::string_view part, OrganisationId const&);

/// Returns the digest in hexadecimal, for logs and keys.
std::string to_text(RequestFingerprint const&);
/// Returns the digests, separated by commas; "none" if there are none.
std::string to_text(std::span<RequestFingerprint const>);

}
