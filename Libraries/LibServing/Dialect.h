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

namespace Serving {

/// What a generation asks for.
struct GenerationDemand {
    ModelId model;
    TokenCount prompt;
    /// The most that may come out.
    TokenCount max_output;
    /// The caller's guess of what will come out: right in the median, often far off.
    std::optional<TokenCount> estimated_output;
};

/// What a caller's head says, apart from what HTTP itself says.
struct CallHead {
    /// Names the caller's attempt; a further attempt has another one.
    std::string attempt;
    std::optional<Duration> timeout;
    std::string key;
    std::optional<GenerationDemand> demand;
};

/// Where a generation goes on that has run elsewhere before.
struct Continuation {
    /// Names the copy of its memory, in the words of the backend server that gave it.
    std::string copy;
    /// The last event that the caller has; empty when it has none.
    std::optional<u64> last_event;
};

/// What the system says to a backend server along with a request.
struct DispatchHead {
    EngineId target;
    OrganisationId organisation;
    Duration time_left { 0 };
    std::optional<Continuation> continuation;
    /// 0 is the most urgent, 9 the least.
    std::optional<u32> urgency;
};

/// What a backend server's head says, apart from what HTTP itself says.
struct BackendResponseHead {
    /// The caller's attempt that it answers; empty when it does not say.
    std::string attempt;
    /// It says that the request was not and will not be run.
    bool is_not_run { false };
    /// Another backend server holds the address now.
    bool is_misdirected { false };
    bool is_signed { false };
    std::optional<LoadReport> load;
    /// The requests that it takes from all hosts together; nothing while it names no limit.
    std::optional<RequestRate> limit;
    /// It wants no requests of this host for so long; nothing while it does not ask for that.
    std::optional<Duration> back_off_for;
    /// Its process takes no new work any more and will end.
    bool is_leaving { false };
};

/// A copy of a generation's memory at another engine.
struct MemoryCopy {
    std::string handle;
    /// Events made before the copy was complete.
    std::optional<u64> events_made;
};

/// How callers, backend servers and engines are spoken to. Translates only; decides nothing.
template<typename T>
concept Dialect = requires(Http::RequestHead const& request, Http::ResponseHead const& response, Http::Fields& fields,
    DispatchHead const& dispatch, Backend const& backend, std::string const& text, bool flag)
{
    {
        T::decode_call(request)
        } -> std::same_as<CallHead>;
    T::prepare_dispatch(fields, dispatch);
    T::remove_server_notice(fields);
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
