/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <string>

namespace Delivery {

/// The state with which a gateway resumes a generation that another gateway started. The caller keeps the token; no
/// gateway stores it.
struct ResumeToken {
    GenerationId generation;
    AttemptNumber attempt;
    std::string execution;
    EngineId engine;
    Address engine_address;
    OrganisationId organisation;
    RouteName route;
    u64 expires_wall_milliseconds { 0 };

    bool operator==(ResumeToken const&) const = default;
};

struct SigningKey {
    std::string id;
    std::string secret_hexadecimal;
};

/// Encodes a token as "key id.payload.signature", where the signature is an HMAC-SHA-256 over the first two parts.
std::string sign(ResumeToken const&, SigningKey const&);

/// Returns the key id of a token, to look up the key. Errors: InvalidRequest.
Result<std::string> signing_key_id(std::string const& text);

/// Decodes a token and checks its signature and expiry. Errors: InvalidRequest if the token is malformed, Forbidden if
/// the signature is wrong or the token has expired.
Result<ResumeToken> verify(std::string const& text, SigningKey const&, u64 wall_now);

/// Returns the SHA-256 of a text in lower-case hexadecimal, the form in which API keys are stored.
std::string sha256_hexadecimal(std::string const& text);

}
