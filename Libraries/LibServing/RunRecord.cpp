/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/RunRecord.h>

namespace Serving {

ResponseSubject subject_of(BackendResponseHead const& response, std::string_view awaited_attempt, bool is_first)
{
    if (!response.attempt.empty())
        return response.attempt == awaited_attempt ? ResponseSubject::Named : ResponseSubject::OtherRequest;
    return is_first ? ResponseSubject::OnlyRequest : ResponseSubject::Unknown;
}

std::string_view to_string(NotRunGround ground)
{
    switch (ground) {
    case NotRunGround::NotConnected:
        return "not_connected";
    case NotRunGround::NamedResponse:
        return "named_response";
    case NotRunGround::OnlyRequest:
        return "only_request";
    case NotRunGround::HostRefusal:
        return "host_refusal";
    }
    VERIFY(false);
}

std::optional<NotRunProof> NotRunProof::from_connection(Http::ExchangeEnd end)
{
    if (!Http::is_not_connected(end))
        return {};
    return NotRunProof(NotRunGround::NotConnected);
}

std::optional<NotRunProof> NotRunProof::from_response(BackendResponseHead const& response, ResponseSubject subject)
{
    if (!response.is_not_run || !is_awaited(subject))
        return {};
    return NotRunProof(subject == ResponseSubject::Named ? NotRunGround::NamedResponse : NotRunGround::OnlyRequest);
}

std::optional<NotRunProof> NotRunProof::from_host(bool is_own_account)
{
    if (!is_own_account)
        return {};
    return NotRunProof(NotRunGround::HostRefusal);
}

void RunRecord::begin_dispatch()
{
    if (this->is_dispatched)
        ++this->ended_unproved;
    this->is_dispatched = true;
    ++this->dispatch_count;
}

void RunRecord::end_dispatch(std::optional<NotRunProof> const& proof)
{
    VERIFY(this->is_dispatched);
    this->is_dispatched = false;
    if (!proof)
        ++this->ended_unproved;
}

RequestOutcome RunRecord::outcome() const
{
    return this->may_have_run() ? RequestOutcome::MayHaveRun : RequestOutcome::NotRun;
}

}
