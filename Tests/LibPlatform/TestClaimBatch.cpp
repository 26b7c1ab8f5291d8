/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/ClaimBatch.h>
#include <LibPlatform/FaultyTable.h>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <set>

using Platform::Claim;
using Platform::ClaimBatch;
using Platform::ClaimVerdict;
using Platform::Fault;
using Platform::FaultyTable;
using Platform::MemoryTable;

static Claim claim(std::string key, std::string nonce)
{
    return { OrganisationId("hanak"), std::move(key), std::move(nonce) };
}

static constexpr u64 wall_now = 1'000'000;

SCENARIO("a key is claimed by one call")
{
    MemoryTable table;
    FaultyTable view(table);
    ClaimBatch batch(view, wall_now);
    auto verdicts = batch.make({ claim("a", "n1"), claim("b", "n2"), claim("a", "n3") });
    CHECK(verdicts == std::vector { ClaimVerdict::Granted, ClaimVerdict::Granted, ClaimVerdict::TakenByOther });
    CHECK(table.commit_count() == 1);

    WHEN("another call uses the key") { CHECK(batch.make({ claim("a", "n4") }).front() == ClaimVerdict::TakenByOther); }
    WHEN("the same call repeats its claim, because the response was lost")
    {
        CHECK(batch.make({ claim("a", "n1") }).front() == ClaimVerdict::Granted);
    }
    WHEN("the claim has expired")
    {
        ClaimBatch later(view, wall_now + Platform::claim_lifetime_milliseconds + 1);
        CHECK(later.make({ claim("a", "n5") }).front() == ClaimVerdict::Granted);
    }
    WHEN("another organisation uses the same key")
    {
        CHECK(batch.make({ { OrganisationId("toll"), "a", "n6" } }).front() == ClaimVerdict::Granted);
    }
    WHEN("another call holds one claim of a batch")
    {
        auto mixed = batch.make({ claim("a", "n7"), claim("c", "n8") });
        CHECK(mixed == std::vector { ClaimVerdict::TakenByOther, ClaimVerdict::Granted });
    }
    WHEN("the table's response is lost after the write")
    {
        view.script({ Fault::None, Fault::LoseResponse });
        CHECK(batch.make({ claim("d", "n9") }).front() == ClaimVerdict::Granted);
    }
    WHEN("it is unknown whether the write took effect")
    {
        view.script({ Fault::None, Fault::LoseResponse });
        view.set_standing_fault(Fault::Unavailable);
        CHECK(batch.make({ claim("d", "n9") }).front() == ClaimVerdict::Unknown);
    }
    WHEN("the platform is unavailable")
    {
        view.set_standing_fault(Fault::Unavailable);
        CHECK(batch.make({ claim("d", "n9") }).front() == ClaimVerdict::PlatformUnavailable);
    }
}

SCENARIO("expired claims are swept, and no others")
{
    MemoryTable table;
    FaultyTable view(table);
    (void)ClaimBatch(view, wall_now).make({ claim("a", "n1"), claim("b", "n2") });
    auto later = wall_now + Platform::claim_lifetime_milliseconds + 1;
    (void)ClaimBatch(view, later).make({ claim("c", "n3") });
    auto next = Platform::sweep_claims(view, "", 2, later);
    CHECK(table.scan("claim/", "", 10).value().size() == 1);
    CHECK(Platform::sweep_claims(view, next, 2, later).empty());
    CHECK(ClaimBatch(view, later).make({ claim("c", "n4") }).front() == ClaimVerdict::TakenByOther);
}

TEST_CASE("no key is ever granted to two calls", "[property]")
{
    rc::prop("claims", [] {
        MemoryTable table;
        // Two routers, each of which considers itself the only one that commits claims.
        FaultyTable views[] { FaultyTable(table), FaultyTable(table) };
        std::map<std::string, std::set<std::string>> granted;
        auto rounds = *rc::gen::inRange(1, 15);
        for (int round = 0; round < rounds; ++round) {
            auto& view = views[*rc::gen::inRange(0, 2)];
            std::deque<Fault> faults;
            for (int call = 0; call < 10; ++call)
                faults.push_back(*rc::gen::weightedElement<Fault>({ { 6, Fault::None }, { 1, Fault::Unavailable },
                    { 2, Fault::LoseResponse }, { 1, Fault::LoseRequest } }));
            view.script(faults);
            std::vector<Claim> claims;
            auto count = *rc::gen::inRange(1, 6);
            for (int i = 0; i < count; ++i)
                claims.push_back(claim(
                    "k" + std::to_string(*rc::gen::inRange(0, 5)), "n" + std::to_string(*rc::gen::inRange(0, 12))));
            auto verdicts = ClaimBatch(view, wall_now).make(claims);
            view.script({});
            for (size_t i = 0; i < claims.size(); ++i) {
                if (verdicts[i] == ClaimVerdict::Granted)
                    granted[claims[i].idempotency_key].insert(claims[i].nonce);
            }
        }
        for (auto const& [key, nonces] : granted)
            RC_ASSERT(nonces.size() == 1u);
    });
}
