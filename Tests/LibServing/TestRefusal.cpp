/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Refusal.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <deque>

using namespace Serving;

namespace {

/// Hosts that place generations on the same engines, some of which refuse everything. Announcements between hosts take
/// a few milliseconds. Engines that refuse requests run nothing, so they look the least loaded.
class RefusingFleet {
public:
    static constexpr int host_count = 12;
    static constexpr int engine_count = 18;
    static constexpr Duration step = 5ms;
    /// All hosts together.
    static constexpr int placements_per_second = 20;

    RefusingFleet()
    {
        for (int i = 0; i < host_count; ++i) {
            auto& host = this->hosts.emplace_back(this->loop, this->settings, this->log);
            host.random.seed(static_cast<u32>(i));
            host.clock = [this] { return this->now += Test::clock_step; };
            host.backend_refuses = [this, &host](Backend const& backend) { this->announce(host, backend); };
            for (int engine = 0; engine < engine_count; ++engine)
                host.backends.update(this->engine(engine), this->now);
        }
    }

    void run(Duration span, int refusing)
    {
        for (int engine = 0; engine < refusing; ++engine)
            this->set_tokens(EngineId("e" + std::to_string(engine)), 0);
        auto const end = this->now + span;
        for (int i = 0; this->now < end; ++i) {
            this->now += step;
            this->deliver();
            if (i % static_cast<int>(1s / step / placements_per_second) == 0)
                this->place(this->hosts[this->placements++ % host_count], refusing);
        }
    }

    int refused { 0 };
    int lost { 0 };
    std::map<std::string, int> placed;

private:
    static BackendServer engine(int number)
    {
        BackendServer made;
        made.id = EngineId("e" + std::to_string(number));
        made.service = ServiceName("models");
        made.address = Address("127.0.0.1:1000");
        made.failure_domain = FailureDomainId("hall-a");
        made.slots = 24;
        return made;
    }

    void announce(ServingContext const& from, Backend const& backend)
    {
        wire::HostUse message;
        auto& refusing = *message.add_refusing();
        refusing.set_backend(backend.server.id.value());
        refusing.set_refusals(backend.health.consecutive_refusals);
        this->in_transit.push_back({ this->now + 3ms, &from, message });
    }

    void deliver()
    {
        for (; !this->in_transit.empty() && this->in_transit.front().arrives_at <= this->now;
             this->in_transit.pop_front()) {
            for (auto& host : this->hosts) {
                if (&host != this->in_transit.front().from)
                    apply_refusals(host, this->in_transit.front().message);
            }
        }
    }

    /// Dispatches like a generation: to up to four engines, one after another.
    void place(ServingContext& host, int refusing)
    {
        std::vector<EngineId> tried;
        for (u32 i = 0; i < max_attempts; ++i) {
            auto chosen = choose_for_generation(host.backends.of_service(ServiceName("models")), tried,
                { TokenCount(3000), TokenCount(800) }, TokenCount(34'000), host.choice_inputs(0.3), host.random);
            REQUIRE(chosen);
            tried.push_back(chosen->server.id);
            bool const refuses = std::stoi(chosen->server.id.value().substr(1)) < refusing;
            if (!refuses)
                return this->accept(*chosen);
            ++this->refused;
            record_refusal(host, *chosen, "g1", "status 429");
        }
        ++this->lost;
    }

    void accept(Backend& chosen)
    {
        record_success(chosen);
        ++this->placed[chosen.server.id.value()];
        constexpr i64 tokens_of_busy_engine = 17'000;
        this->set_tokens(chosen.server.id, tokens_of_busy_engine);
    }

    /// Every host knows at once the load that the others have at an engine.
    void set_tokens(EngineId const& engine, i64 tokens)
    {
        for (auto& host : this->hosts)
            host.backends.find(engine)->engine.peer_tokens = tokens;
    }

    static constexpr u32 max_attempts = 4;
    struct Announcement {
        Instant arrives_at;
        ServingContext const* from;
        wire::HostUse message;
    };

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Instant now { 100s };
    size_t placements { 0 };
    std::deque<ServingContext> hosts;
    std::deque<Announcement> in_transit;
};

}

SCENARIO("engines that refuse do not draw all hosts because they look empty")
{
    RefusingFleet fleet;
    fleet.run(5s, 0);
    CHECK(fleet.refused == 0);

    WHEN("a third of the engines refuses everything")
    {
        fleet.run(20s, 6);
        THEN("few dispatches reach them, and few generations are lost to them")
        {
            // Out of 400 generations. If refusals are not recorded, about 1,600 dispatches are refused and all
            // generations are lost.
            INFO(fleet.refused);
            CHECK(fleet.refused < 80);
            CHECK(fleet.lost <= 10);
        }
        AND_WHEN("they accept work again")
        {
            fleet.placed.clear();
            fleet.run(5s, 0);
            THEN("each of them gets work") { CHECK(fleet.placed.size() == RefusingFleet::engine_count); }
        }
    }
    WHEN("all of them refuse")
    {
        fleet.run(10s, RefusingFleet::engine_count);
        AND_WHEN("they accept work again")
        {
            fleet.lost = 0;
            fleet.run(2s, 0);
            THEN("no further generation is lost") { CHECK(fleet.lost == 0); }
        }
    }
}

SCENARIO("a refusal is believed for a while, and longer when it is repeated")
{
    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log([](std::string_view text) { return text.size(); });
    ServingContext host(loop, settings, log);
    Instant now { 100s };
    host.clock = [&] { return now += Test::clock_step; };
    int announced = 0;
    host.backend_refuses = [&](Backend const&) { ++announced; };
    BackendServer server;
    server.id = EngineId("e1");
    server.address = Address("127.0.0.1:1000");
    auto engine = host.backends.update(server, now);

    record_refusal(host, *engine, "g1", "status 503");
    CHECK(engine->is_avoided(now));
    CHECK(announced == 1);
    THEN("another refusal in the meantime is not announced")
    {
        record_refusal(host, *engine, "g2", "status 503");
        CHECK(announced == 1);
        CHECK(engine->health.consecutive_refusals == 1);
    }
    THEN("the avoidance ends soon")
    {
        now += 250ms;
        CHECK_FALSE(engine->is_avoided(now));
        AND_WHEN("it refuses again")
        {
            record_refusal(host, *engine, "g2", "status 503");
            now += 499ms;
            CHECK(engine->is_avoided(now));
            now += 1ms;
            CHECK_FALSE(engine->is_avoided(now));
        }
        AND_WHEN("it accepts a request")
        {
            record_success(*engine);
            CHECK(engine->health.consecutive_refusals == 0);
        }
    }
    THEN("a successful request ends the avoidance")
    {
        record_success(*engine);
        CHECK_FALSE(engine->is_avoided(now));
    }
    WHEN("it refuses for a long time")
    {
        Instant before {};
        for (int i = 0; i < 20; ++i) {
            now = std::max(now, engine->health.refusal_avoidance_until);
            before = now;
            record_refusal(host, *engine, "g2", "status 503");
        }
        THEN("it is still tried every four seconds")
        {
            CHECK(engine->health.refusal_avoidance_until > before + 4s);
            CHECK(engine->health.refusal_avoidance_until <= now + 4s);
        }
    }
    WHEN("another host announces an unknown backend server, or no count")
    {
        wire::HostUse message;
        message.add_refusing()->set_backend("stranger");
        message.add_refusing()->set_backend("e1");
        now += 1s;
        apply_refusals(host, message);
        CHECK_FALSE(engine->is_avoided(now));
    }
}
