/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <LibDelivery/Outcome.h>
#include <optional>
#include <string>

/// The callers' side in bytes: what is read from requests and written in answers. docs/CALLERS.md describes it.
namespace Gateway {

/// The two shapes of request that common client libraries speak.
enum class ApiShape : u8 {
    Completion,
    Chat,
};

struct GenerationRequest {
    std::string api_key;
    ApiShape shape { ApiShape::Completion };
    RouteName route;
    std::string prompt;
    std::optional<u64> maximum_output_tokens;
    std::optional<Duration> deadline;
    bool stream { false };
};

static constexpr size_t max_request_bytes = 4 * 1024 * 1024;

/// Parses the body of a generation request. Errors: InvalidRequest.
Result<GenerationRequest> parse_generation_request(ApiShape shape, std::string const& body);
/// The deadline header, in milliseconds. Errors: InvalidRequest.
Result<std::optional<Duration>> parse_deadline(std::string const& header);
/// The key in "Bearer <key>". Errors: Unauthenticated.
Result<std::string> parse_bearer(std::string const& header);

/// About how many tokens a text has; engines count exactly, admission needs only the size.
TokenCount estimate_tokens(std::string const& text);
/// Names the start of a prompt for prefix caches, so that no two organisations ever share a name.
u64 salted_prefix_hash(OrganisationId const&, std::string const& prompt);

int http_status(ErrorKind);

/// What identifies one stream in each of its events.
struct StreamIdentity {
    GenerationId generation;
    RouteName route;
    ApiShape shape { ApiShape::Completion };
    u64 created_seconds { 0 };
};

/// The bodies of answers: JSON objects without line breaks.
std::string format_token(StreamIdentity const&, std::string const& text, u64 offset, AttemptNumber attempt);
std::string format_stream_end(StreamIdentity const&, u64 token_count);
std::string format_complete_response(StreamIdentity const&, std::string const& text, u64 token_count);
/// `next_offset` is set when a stream broke after tokens were delivered.
std::string format_error(Error const&, Delivery::Outcome, std::optional<u64> next_offset = {});

}
