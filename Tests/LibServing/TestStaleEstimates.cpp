/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/PlacementRate.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Serving;

/// A failure domain whose own engines are full, so that all of its hosts place in the other four. All believe the same
/// of engines there, and what they believe is a quarter of a second old.
class SpillingDomain {
public:
    static constexpr int deciders = 59;
    static constexpr int engines_of_domain = 26;
    static constexpr i64 memory = 33'620;
    static constexpr double placements_of_a_host_per_second = 0.65;
    static constexpr Duration belief_age = 250ms;

    explicit SpillingDomain(bool minds_late_beliefs)
        : minds_late_beliefs(minds_late_beliefs)
    {
        for (auto const* domain : { "hall-a", "hall-b", "hall-c", "hall-d", "hall-e" })
            for (int i = 0; i < engines_of_domain; ++i)
                this->add_engine(domain, i);
    }

    /// The most of one second's placements that any one engine gets.
    int busiest_engine_of_a_second()
    {
        std::map<EngineId, int> placed;
        auto const all = static_cast<int>(placements_of_a_host_per_second * deciders);
        auto const unseen_together = static_cast<int>(placements_of_a_host_per_second * deciders / 4);
        for (int i = 0; i < all; ++i) {
            if (i % unseen_together == 0)
                this->tell();
            auto chosen = this->choose();
            this->untold.push_back(chosen);
            ++placed[chosen->server.id];
        }
        return std::ranges::max_element(placed, {}, [](auto const& entry) { return entry.second; })->second;
    }

    BackendPointer choose()
    {
        ChoiceInputs inputs { FailureDomainId("hall-a"), {}, Instant { 10s }, 0.3, {}, FailureDomainId("hall-a") };
        if (this->minds_late_beliefs)
            inputs.unseen_placements = placements_of_a_host_per_second * deciders * AK::to_seconds(belief_age);
        return choose_for_generation(this->table.of_service(ServiceName("models")), {},
            { TokenCount(3000), TokenCount(500) }, TokenCount(memory), inputs, this->random);
    }

private:
    void add_engine(std::string const& domain, int number)
    {
        BackendServer server;
        server.id = EngineId(domain + '/' + std::to_string(number));
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = FailureDomainId(domain);
        server.slots = 24;
        auto backend = this->table.update(server, Instant { 1s });
        // The others are from a third to half full.
        backend->engine.peer_tokens = domain == "hall-a" ? memory : memory / 3 + number * memory / 150;
    }

    void tell()
    {
        for (auto const& chosen : this->untold) {
            chosen->engine.peer_tokens += 3000;
            chosen->engine.peer_unread_tokens += 3000;
        }
        this->untold.clear();
    }

    bool minds_late_beliefs;
    BackendTable table;
    std::vector<BackendPointer> untold;
    boost::random::mt19937 random { 7 };
};

SCENARIO("59 hosts that believe the same of other domains do not meet at one engine")
{
    // An engine reads a prompt of 3,000 tokens in some 0.4 s; a goal of 1.8 s bears three of them one after another.
    constexpr int bearable = 4;
    SpillingDomain minding(true);
    CHECK(minding.busiest_engine_of_a_second() <= bearable);
    THEN("they would if they took what they believe for what is")
    {
        SpillingDomain trusting(false);
        CHECK(trusting.busiest_engine_of_a_second() > bearable);
    }
}

SCENARIO("what others place unseen is reckoned from the host's own pace")
{
    PlacementRate pace;
    Instant now { 100s };
    CHECK(pace.unseen(now, 59, 250ms) == 0);
    for (int i = 0; i < 65; ++i) {
        now += 1540ms;
        pace.record(now);
    }
    CHECK(pace.unseen(now, 59, 250ms) == Approx(0.65 * 59 * 0.25).epsilon(0.1));
    THEN("it is next to nothing where a few hosts hear of each other within milliseconds")
    {
        CHECK(pace.unseen(now, 3, 12ms) < 0.03);
    }
    WHEN("no more come") { CHECK(pace.unseen(now + 60s, 59, 250ms) < 0.1); }
}
