/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestFingerprint.h>
#include <catch2/catch.hpp>

using namespace Serving;

SCENARIO("the fingerprint covers what a caller resends unchanged")
{
    OrganisationId const plaza("plaza");
    Http::Request request(Http::Verb::post, "/drafts/2?lane=4", 11);
    request.set(Http::Name::host, "tolls.example");
    request.set("Attempt", "first");
    request.body() = "Lane 4 is closed.";
    auto const before = fingerprint_of(request, plaza);

    WHEN("it is sent again under another attempt with another deadline")
    {
        request.set("Attempt", "second");
        request.set("Deadline", "100");
        THEN("the fingerprint is the same") { CHECK(fingerprint_of(request, plaza) == before); }
    }
    WHEN("another organisation sends it")
    {
        auto const other = fingerprint_of(request, OrganisationId("market"));
        THEN("the fingerprint differs")
        {
            CHECK(other != before);
            CHECK(other.organisation == OrganisationId("market"));
        }
    }
    WHEN("its body differs")
    {
        request.body() = "Lane 5 is closed.";
        THEN("the fingerprint differs") { CHECK(fingerprint_of(request, plaza) != before); }
    }
    WHEN("its path, its query or its host differs")
    {
        request.target("/drafts/3?lane=4");
        CHECK(fingerprint_of(request, plaza) != before);
        request.target("/drafts/2?lane=5");
        CHECK(fingerprint_of(request, plaza) != before);
        request.target("/drafts/2?lane=4");
        request.set(Http::Name::host, "claims.example");
        CHECK(fingerprint_of(request, plaza) != before);
    }
    WHEN("a character moves from the beginning of its body to the end of its path")
    {
        request.target("/drafts/2?lane=4L");
        request.body() = "ane 4 is closed.";
        THEN("the fingerprint differs") { CHECK(fingerprint_of(request, plaza) != before); }
    }
}
