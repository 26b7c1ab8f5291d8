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

/// Parses callers' requests and formats the responses. The format is documented in docs/CALLERS.md.
namespace Gateway {

/// The two request formats that common client libraries use.
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
/// Parses the deadline header, in milliseconds. Errors: InvalidRequest.
Result<std::optional<Duration>> parse_deadline(std::string const& header);
/// Returns the key from "Bearer <key>". Errors: Unauthenticated.
Result<std::string> parse_bearer(std::string const& header);

/// Estimates the number of tokens of a text. Engines count exactly; admission only needs an approximate size.
TokenCount estimate_tokens(std::string const& text);
/// Returns the key of the prompt's prefix for prefix caches. It is salted with the organisation, so that organisations
/// never share a key.
u64 salted_prefix_hash(OrganisationId const&, std::string const& prompt);

int http_status(ErrorKind);

/// Identifies a stream in each of its events.
struct StreamIdentity {
    GenerationId generation;
    RouteName route;
    ApiShape shape { ApiShape::Completion };
    u64 created_seconds { 0 };
};

/// The following functions format bodies of responses: JSON objects without line breaks.
std::string format_token(StreamIdentity const&, std::string const& text, u64 offset, AttemptNumber attempt);
std::string format_stream_end(StreamIdentity const&, u64 token_count);
std::string format_complete_response(StreamIdentity const&, std::string const& text, u64 token_count);
/// `next_offset` is set if the stream broke after tokens were delivered.
std::string format_error(Error const&, Delivery::Outcome, std::optional<u64> next_offset = {});

}
