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

/// What a gateway needs to go on with a generation that another gateway began. The caller holds it; nothing is
/// stored.
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

/// "key id.payload.signature", with HMAC-SHA-256 over the first two parts.
std::string sign(ResumeToken const&, SigningKey const&);

/// The key id a token names, for looking the key up. Errors: InvalidRequest.
Result<std::string> signing_key_id(std::string const& text);

/// Errors: InvalidRequest when malformed, Forbidden when the signature is wrong or the token has expired.
Result<ResumeToken> verify(std::string const& text, SigningKey const&, u64 wall_now);

/// Lower-case hexadecimal SHA-256, as API keys are kept.
std::string sha256_hexadecimal(std::string const& text);

}
