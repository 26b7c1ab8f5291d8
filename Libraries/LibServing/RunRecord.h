/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/BackendConnection.h>
#include <LibServing/Dialect.h>
#include <LibServing/ErrorResponse.h>
#include <optional>
#include <string_view>

namespace Serving {

/// Which request a backend server's response belongs to.
enum class ResponseSubject : u8 {
    /// The awaited request: the response names its attempt.
    Named,
    /// The awaited request: the response names none, but its connection has carried no other request.
    OnlyRequest,
    /// Another request, whose attempt it names.
    OtherRequest,
    /// Unknown: it names no request, and may be a further response to an earlier one.
    Unknown,
};

/// `is_first`: the response is the first one on a connection that has carried no other request.
[[nodiscard]] ResponseSubject subject_of(
    BackendResponseHead const& response, std::string_view awaited_attempt, bool is_first);
/// Whether the response is the one to the awaited request.
[[nodiscard]] constexpr bool is_awaited(ResponseSubject subject)
{
    return subject == ResponseSubject::Named || subject == ResponseSubject::OnlyRequest;
}

/// Why it is certain that a dispatch of a request has not run.
enum class NotRunGround : u8 {
    /// The connection was not made, so that no byte was sent.
    NotConnected,
    /// The backend server reports so in a response that names the request.
    NamedResponse,
    /// The backend server reports so in the only response of a connection that has carried only this request.
    OnlyRequest,
    /// The host to which the request was forwarded reports so by its own account.
    HostRefusal,
};

std::string_view to_string(NotRunGround);

/// The certainty that a dispatch has not run and will not run. It is made only from evidence for which it is known who
/// gave it and which request it is about; nothing else may be taken for "not run".
class NotRunProof {
public:
    /// Of an exchange whose response was not received.
    [[nodiscard]] static std::optional<NotRunProof> from_connection(Http::ExchangeEnd);
    /// Of a response by a backend server. What follows its head proves nothing, so it may be truncated.
    [[nodiscard]] static std::optional<NotRunProof> from_response(BackendResponseHead const&, ResponseSubject);
    /// Of the refusal of another host. `is_own_account`: that host has not relayed it from a backend server.
    [[nodiscard]] static std::optional<NotRunProof> from_host(bool is_own_account);

    [[nodiscard]] NotRunGround ground() const { return this->reason; }

private:
    explicit NotRunProof(NotRunGround ground)
        : reason(ground)
    {
    }

    NotRunGround reason;
};

/// The dispatches of one request, and whether any of them may have run.
class RunRecord {
public:
    /// To be called before a byte of the request can be sent. The dispatch may run until its end is recorded.
    void begin_dispatch();
    /// Records the end of the dispatch. Without a proof, it may have run.
    void end_dispatch(std::optional<NotRunProof> const&);

    [[nodiscard]] u32 dispatches() const { return this->dispatch_count; }
    /// Number of dispatches that may have run or may be running.
    [[nodiscard]] u32 possible_runs() const { return this->ended_unproved + (this->is_dispatched ? 1 : 0); }
    [[nodiscard]] bool may_have_run() const { return this->possible_runs() > 0; }
    /// What the caller may be told if it gets no response of a backend server.
    [[nodiscard]] RequestOutcome outcome() const;

private:
    u32 dispatch_count { 0 };
    u32 ended_unproved { 0 };
    bool is_dispatched { false };
};

}
