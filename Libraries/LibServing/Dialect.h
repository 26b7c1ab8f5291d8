/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibHttp/Types.h>
#include <LibServing/BackendTable.h>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace Serving {

/// Requirements of a generation.
struct GenerationDemand {
    ModelId model;
    TokenCount prompt;
    /// Upper bound of the output.
    TokenCount max_output;
    /// The caller's estimate of the output. Estimates are accurate in the median, but single ones are often far off.
    std::optional<TokenCount> estimated_output;
};

/// Platform-specific content of a caller's request head.
struct CallHead {
    /// Id of the caller's attempt; each further attempt has a new one.
    std::string attempt;
    std::optional<Duration> timeout;
    std::string key;
    std::optional<GenerationDemand> demand;
    /// Ids of the parts of the prompt that other requests may share, in their order; the last part of a prompt is not
    /// among them.
    std::vector<std::string> shared_prompt_parts;
};

/// The state from which a moved generation resumes.
struct Continuation {
    /// Name of the copy of its memory, as assigned by the backend server that made it.
    std::string copy;
    /// The last event that was relayed to the caller; empty if there was none.
    std::optional<u64> last_event;
};

/// Platform-specific content of the head of a request to a backend server.
struct DispatchHead {
    EngineId target;
    OrganisationId organisation;
    Duration time_left { 0 };
    std::optional<Continuation> continuation;
    /// 0 is the most urgent, 9 the least.
    std::optional<u32> urgency;
};

/// Platform-specific content of a backend server's response head.
struct BackendResponseHead {
    /// The caller's attempt to which it responds; empty if not specified.
    std::string attempt;
    /// The server reports that the request has not run and will not run.
    bool is_not_run { false };
    /// Another backend server uses the address now.
    bool is_misdirected { false };
    bool is_signed { false };
    std::optional<LoadReport> load;
    /// Rate at which it accepts requests from all hosts together; empty if it reports no limit.
    std::optional<RequestRate> limit;
    /// Backoff that it requests from this host; empty if it requests none.
    std::optional<Duration> back_off_for;
    /// Its process accepts no new work and will terminate.
    bool is_leaving { false };
};

/// A copy of a generation's memory on another engine.
struct MemoryCopy {
    std::string handle;
    /// Number of events generated before the copy was complete.
    std::optional<u64> events_made;
};

/// The protocol of callers, backend servers and engines. Encodes and decodes messages and makes no decisions.
template<typename T>
concept Dialect = requires(Http::RequestHead const& request, Http::ResponseHead const& response, Http::Fields& fields,
    DispatchHead const& dispatch, Backend const& backend, std::string const& text, bool flag, CallHead& call,
    std::string_view view)
{
    {
        T::decode_call(request)
        } -> std::same_as<CallHead>;
    {
        T::decode_long_field(call, view, view)
        } -> std::same_as<bool>;
    T::prepare_dispatch(fields, dispatch);
    T::remove_server_notice(fields);
    T::set_time_left(fields, Duration());
    {
        T::decode_response(response)
        } -> std::same_as<BackendResponseHead>;
    {
        T::engine_report_request(backend)
        } -> std::same_as<Http::Request>;
    {
        T::decode_engine_report(text)
        } -> std::same_as<Result<EngineReport>>;
    {
        T::copy_request(backend, backend, text, flag)
        } -> std::same_as<Http::Request>;
    {
        T::decode_copy(text)
        } -> std::same_as<Result<MemoryCopy>>;
    {
        T::copy_name(backend, text)
        } -> std::same_as<std::string>;
    {
        T::drop_copy_request(backend, text)
        } -> std::same_as<Http::Request>;
};

}
