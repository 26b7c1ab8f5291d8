/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibHttp/Types.h>
#include <limits>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace Serving {

/// Identifies a request across retries, through any host and under any attempt, by what its caller resends unchanged:
/// organisation, method, host, path and body. Or identifies a part of a prompt, in all requests of an organisation that
/// have it. Requests of two organisations never have equal fingerprints, whatever their contents.
struct RequestFingerprint {
    OrganisationId organisation;
    /// Hash of the organisation, and of method, host, path and body or of the part's id.
    u64 digest { 0 };
    /// 0 for a whole request, or else one more than the position of the part in the prompt. Not compared: a part may
    /// have other positions in other prompts.
    u32 prompt_part { 0 };

    [[nodiscard]] bool is_whole_request() const { return this->prompt_part == 0; }
    /// The higher, the fewer requests are likely to share it.
    [[nodiscard]] u32 specificity() const
    {
        return this->is_whole_request() ? std::numeric_limits<u32>::max() : this->prompt_part;
    }

    auto operator<=>(RequestFingerprint const& other) const
    {
        return std::tie(this->organisation, this->digest) <=> std::tie(other.organisation, other.digest);
    }
    bool operator==(RequestFingerprint const& other) const { return (*this <=> other) == 0; }
};

RequestFingerprint fingerprint_of(Http::Request const&, OrganisationId const&);

/// Returns the fingerprints of these parts of a prompt, given by their ids.
std::vector<RequestFingerprint> fingerprints_of_parts(std::span<std::string const> parts, OrganisationId const&);

/// Returns the digest in hexadecimal, for logs and keys.
std::string to_text(RequestFingerprint const&);
/// Returns the digests, separated by commas; "none" if there are none.
std::string to_text(std::span<RequestFingerprint const>);

}
