/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RunEnd.h>
#include <catch2/catch.hpp>

using namespace Serving;

/// The ground of a proof, or "none".
static std::string ground_of(std::optional<RunEndProof> const& proof)
{
    return proof ? std::string(to_string(proof->ground())) : "none";
}

// Guards against a belief that a run is over which rests on nothing that the engine has reported.
SCENARIO("a run counts as over only on evidence")
{
    auto respond = [](Http::Status status, bool names_copy, SourceStream stream) {
        return ground_of(RunEndProof::from_response({ status, names_copy }, stream));
    };
    GIVEN("an order that was carried out")
    {
        CHECK(respond(Http::Status::ok, true, SourceStream::Open) == "stopped");
        CHECK(respond(Http::Status::ok, true, SourceStream::BrokeOff) == "stopped");
    }
    GIVEN("a success that names no copy") { CHECK(respond(Http::Status::ok, false, SourceStream::BrokeOff) == "none"); }
    GIVEN("an engine that runs no such generation")
    {
        CHECK(respond(Http::Status::not_found, false, SourceStream::BrokeOff) == "not_found");
        THEN("the rest of a stream that is still open is awaited")
        {
            CHECK(respond(Http::Status::not_found, false, SourceStream::Open) == "none");
        }
    }
    GIVEN("a target without room for the rest of the memory")
    {
        CHECK(respond(Http::Status::service_unavailable, true, SourceStream::BrokeOffAfterOrder) == "stopped");
        CHECK(respond(Http::Status::service_unavailable, true, SourceStream::Open) == "none");
        CHECK(respond(Http::Status::service_unavailable, false, SourceStream::BrokeOff) == "none");
    }
    GIVEN("a response of another process")
    {
        CHECK(respond(Http::Status::misdirected_request, false, SourceStream::Open) == "process_terminated");
    }
    GIVEN("any other status")
    {
        for (auto const stream : { SourceStream::Open, SourceStream::BrokeOff, SourceStream::BrokeOffAfterOrder }) {
            CHECK(respond(Http::Status::internal_server_error, true, stream) == "none");
            CHECK(respond(Http::Status::conflict, true, stream) == "none");
            CHECK(respond(Http::Status::bad_gateway, false, stream) == "none");
            CHECK(respond(Http::Status::too_many_requests, false, stream) == "none");
        }
    }
    GIVEN("a stream that ended after the order, and no response that says more")
    {
        CHECK(ground_of(RunEndProof::from_stream(SourceStream::BrokeOffAfterOrder, 1)) == "none");
        CHECK(ground_of(RunEndProof::from_stream(SourceStream::BrokeOffAfterOrder, 3)) == "closed_after_order");
        CHECK(ground_of(RunEndProof::from_stream(SourceStream::BrokeOff, 100)) == "none");
        CHECK(ground_of(RunEndProof::from_stream(SourceStream::Open, 100)) == "none");
    }
    GIVEN("an engine that accepts no connection")
    {
        CHECK(ground_of(RunEndProof::from_process(ProcessState::Terminated, 1)) == "process_terminated");
        CHECK(ground_of(RunEndProof::from_process(ProcessState::Listening, 9)) == "none");
        CHECK(ground_of(RunEndProof::from_process(ProcessState::Unknown, 2)) == "none");
        CHECK(ground_of(RunEndProof::from_process(ProcessState::Unknown, 3)) == "out_of_reach");
    }
}
