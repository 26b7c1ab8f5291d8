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

/// A failure domain whose own engines are full, so that all of its hosts place generations in the other four domains.
/// All hosts have the same view of the engines there, and it is a quarter of a second old.
class SpillingDomain {
public:
    static constexpr int hosts = 59;
    static constexpr int engines_of_domain = 26;
    static constexpr i64 memory = 33'620;
    static constexpr double placements_of_a_host_per_second = 0.65;
    static constexpr Duration view_age = 250ms;

    explicit SpillingDomain(bool allows_for_staleness)
        : allows_for_staleness(allows_for_staleness)
    {
        for (auto const* domain : { "hall-a", "hall-b", "hall-c", "hall-d", "hall-e" })
            for (int i = 0; i < engines_of_domain; ++i)
                this->add_engine(domain, i);
    }

    /// Returns the largest number of placements that any engine receives within one second.
    int busiest_engine_of_a_second()
    {
        std::map<EngineId, int> placed;
        auto const all = static_cast<int>(placements_of_a_host_per_second * hosts);
        auto const placements_per_view_age = static_cast<int>(placements_of_a_host_per_second * hosts / 4);
        for (int i = 0; i < all; ++i) {
            if (i % placements_per_view_age == 0)
                this->announce();
            auto chosen = this->choose();
            this->unannounced.push_back(chosen);
            ++placed[chosen->server.id];
        }
        return std::ranges::max_element(placed, {}, [](auto const& entry) { return entry.second; })->second;
    }

    BackendPointer choose()
    {
        ChoiceInputs inputs { FailureDomainId("hall-a"), {}, Instant { 10s }, 0.3, {}, FailureDomainId("hall-a") };
        if (this->allows_for_staleness)
            inputs.unseen_placements = placements_of_a_host_per_second * hosts * AK::to_seconds(view_age);
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
        // The other engines are between a third and half full.
        backend->engine.peer_tokens = domain == "hall-a" ? memory : memory / 3 + number * memory / 150;
    }

    void announce()
    {
        for (auto const& chosen : this->unannounced) {
            chosen->engine.peer_tokens += 3000;
            chosen->engine.peer_unread_tokens += 3000;
        }
        this->unannounced.clear();
    }

    bool allows_for_staleness;
    BackendTable table;
    std::vector<BackendPointer> unannounced;
    boost::random::mt19937 random { 7 };
};

SCENARIO("59 hosts with the same stale view of other domains do not choose the same engine")
{
    // An engine reads a prompt of 3,000 tokens in about 0.4 s. A goal of 1.8 s allows three of them one after another.
    constexpr int max_per_engine = 4;
    SpillingDomain with_allowance(true);
    CHECK(with_allowance.busiest_engine_of_a_second() <= max_per_engine);
    THEN("they would choose the same engine if they did not allow for the staleness")
    {
        SpillingDomain without_allowance(false);
        CHECK(without_allowance.busiest_engine_of_a_second() > max_per_engine);
    }
}

SCENARIO("unannounced placements of other hosts are estimated from the host's own placement rate")
{
    PlacementRate rate;
    Instant now { 100s };
    CHECK(rate.estimate_unseen(now, 59, 250ms) == 0);
    for (int i = 0; i < 65; ++i) {
        now += 1540ms;
        rate.record(now);
    }
    CHECK(rate.estimate_unseen(now, 59, 250ms) == Approx(0.65 * 59 * 0.25).epsilon(0.1));
    THEN("the estimate is almost zero for a few hosts that update each other within milliseconds")
    {
        CHECK(rate.estimate_unseen(now, 3, 12ms) < 0.03);
    }
    WHEN("the host places nothing more") { CHECK(rate.estimate_unseen(now + 60s, 59, 250ms) < 0.1); }
}
