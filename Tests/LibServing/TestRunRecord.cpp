/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RunRecord.h>
#include <rapidcheck/catch.h>

using namespace Serving;
using Http::ExchangeEnd;

static BackendResponseHead response_for(std::string const& attempt, bool is_not_run)
{
    BackendResponseHead head;
    head.attempt = attempt;
    head.is_not_run = is_not_run;
    return head;
}

SCENARIO("a response belongs to the request that it names, or to the only request of its connection")
{
    CHECK(subject_of(response_for("a", false), "a", true) == ResponseSubject::Named);
    CHECK(subject_of(response_for("a", false), "a", false) == ResponseSubject::Named);
    CHECK(subject_of(response_for("b", false), "a", true) == ResponseSubject::OtherRequest);
    CHECK(subject_of(response_for("", false), "a", true) == ResponseSubject::OnlyRequest);
    CHECK(subject_of(response_for("", false), "a", false) == ResponseSubject::Unknown);
    CHECK(subject_of(response_for("", false), "", false) == ResponseSubject::Unknown);
}

// Guards against new evidence for "not run" of which it is not known who gave it, or which request it is about.
SCENARIO("that a dispatch has not run is proved by little")
{
    GIVEN("a connection")
    {
        CHECK(NotRunProof::from_connection(ExchangeEnd::NotConnected));
        CHECK(NotRunProof::from_connection(ExchangeEnd::ConnectTimedOut));
        for (auto end : { ExchangeEnd::Complete, ExchangeEnd::NoResponse, ExchangeEnd::Truncated,
                 ExchangeEnd::Malformed, ExchangeEnd::TooLarge })
            CHECK_FALSE(NotRunProof::from_connection(end));
    }
    GIVEN("a response")
    {
        auto const refusal = response_for("a", true);
        CHECK(NotRunProof::from_response(refusal, ResponseSubject::Named)->ground() == NotRunGround::NamedResponse);
        CHECK(NotRunProof::from_response(refusal, ResponseSubject::OnlyRequest)->ground() == NotRunGround::OnlyRequest);
        CHECK_FALSE(NotRunProof::from_response(refusal, ResponseSubject::OtherRequest));
        CHECK_FALSE(NotRunProof::from_response(refusal, ResponseSubject::Unknown));
        CHECK_FALSE(NotRunProof::from_response(response_for("a", false), ResponseSubject::Named));
    }
    GIVEN("another host")
    {
        CHECK(NotRunProof::from_host(true)->ground() == NotRunGround::HostRefusal);
        CHECK_FALSE(NotRunProof::from_host(false));
    }
}

SCENARIO("a request has not run only if each of its dispatches is proved not to have run")
{
    rc::prop("any sequence of dispatches", [](std::vector<std::pair<bool, bool>> const& dispatches) {
        RunRecord record;
        u32 unproved = 0;
        RC_ASSERT(record.outcome() == RequestOutcome::NotRun);
        for (auto const& [has_end, has_proof] : dispatches) {
            record.begin_dispatch();
            RC_ASSERT(record.possible_runs() == unproved + 1);
            RC_ASSERT(record.outcome() == RequestOutcome::MayHaveRun);
            unproved += has_end && has_proof ? 0 : 1;
            if (has_end)
                record.end_dispatch(NotRunProof::from_host(has_proof));
            RC_ASSERT(record.possible_runs() == unproved);
            RC_ASSERT((record.outcome() == RequestOutcome::NotRun) == (unproved == 0));
        }
        RC_ASSERT(record.dispatches() == dispatches.size());
    });
}
