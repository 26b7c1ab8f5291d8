/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>

using namespace Serving;

namespace {

enum class Policy : u8 {
    /// The server with the least work ahead.
    LeastLoaded,
    /// The one of two random servers with the shorter expected time.
    TwoChoices,
    /// The server with the shortest expected time.
    ExpectedTime,
};

struct Shape {
    u32 hosts { 60 };
    u32 servers { 3 };
    double calls_per_second { 300 };
    /// The usual slowness of each server in turn.
    std::vector<double> lasting { 1 };
    u32 seed { 1 };
};

/// Hosts that call the servers of one plain service, in virtual time. The machines of the servers are slow at random
/// times. A host knows what the responses to its own calls report.
class Service {
public:
    Service(Shape const& shape, Policy policy)
        : shape(shape)
        , policy(policy)
        , machines(shape.seed)
        , arrivals(shape.seed)
        , choice_random(shape.seed)
        , servers(shape.servers)
        , views(shape.hosts)
    {
        for (auto& view : this->views) {
            for (u32 i = 0; i < shape.servers; ++i) {
                auto backend = std::make_shared<Backend>();
                backend->server.id = EngineId(std::to_string(i));
                backend->server.slots = slots;
                view.push_back(backend);
            }
        }
    }

    /// The share of calls that took longer than the goal.
    [[nodiscard]] double late_share()
    {
        std::exponential_distribution<double> gap(this->shape.calls_per_second);
        Instant next_call = this->now;
        Instant next_draw = this->now;
        auto const end = this->now + 60s;
        while (this->now < end) {
            auto const next_end = this->running.empty() ? end : this->running.begin()->first;
            this->now = std::min({ next_call, next_draw, next_end, end });
            if (this->now == next_end && !this->running.empty()) {
                this->end_call();
            } else if (this->now == next_draw) {
                this->draw_slowness();
                next_draw += phase;
            } else if (this->now == next_call) {
                this->begin_call();
                next_call += AK::from_seconds(gap(this->arrivals));
            }
        }
        return static_cast<double>(this->late) / static_cast<double>(this->ended);
    }

private:
    static constexpr u32 slots = 6;
    static constexpr Duration work = 15ms;
    static constexpr Duration goal = 30ms;
    static constexpr Duration phase = 600ms;
    static constexpr double slow_share = 0.15;
    static constexpr double slow_factor = 2.5;

    struct Call {
        u32 host { 0 };
        u32 server { 0 };
        Instant begun {};
    };
    struct Server {
        double slowness { 1 };
        u32 running { 0 };
        std::deque<Call> waiting;
    };

    void draw_slowness()
    {
        std::bernoulli_distribution is_slow(slow_share);
        for (size_t i = 0; i < this->servers.size(); ++i)
            this->servers[i].slowness
                = this->shape.lasting[i % this->shape.lasting.size()] * (is_slow(this->machines) ? slow_factor : 1);
    }

    void begin_call()
    {
        auto const host = std::uniform_int_distribution<u32>(0, this->shape.hosts - 1)(this->arrivals);
        auto candidates = this->views[host];
        if (this->policy == Policy::TwoChoices) {
            std::shuffle(candidates.begin(), candidates.end(), this->choice_random);
            candidates.resize(2);
        }
        Overload::SlownessDistribution const reported;
        ChoiceInputs inputs;
        inputs.now = this->now;
        inputs.slowness = this->policy == Policy::LeastLoaded ? nullptr : &reported;
        inputs.server_limits = &this->limits;
        auto const chosen = choose_for_call(candidates, {}, inputs, this->choice_random);
        ++chosen->in_flight;
        Call const call { host, static_cast<u32>(std::stoul(chosen->server.id.value())), this->now };
        this->servers[call.server].waiting.push_back(call);
        this->start_waiting(call.server);
    }

    void start_waiting(u32 index)
    {
        auto& server = this->servers[index];
        while (server.running < slots && !server.waiting.empty()) {
            ++server.running;
            auto const takes = AK::from_seconds(AK::to_seconds(work) * server.slowness);
            this->running.emplace(this->now + takes, server.waiting.front());
            server.waiting.pop_front();
        }
    }

    void end_call()
    {
        auto const call = this->running.begin()->second;
        this->running.erase(this->running.begin());
        auto& server = this->servers[call.server];
        --server.running;
        this->start_waiting(call.server);
        ++this->ended;
        this->late += this->now - call.begun > goal ? 1 : 0;
        auto& view = *this->views[call.host][call.server];
        --view.in_flight;
        view.load = LoadReport { server.running, static_cast<u32>(server.waiting.size()), slots };
        view.load_received_at = this->now;
        view.reported_slowness.record(server.slowness);
        view.slowness = { Overload::Slowness(server.slowness / view.lasting_slowness().value()), this->now };
    }

    Shape shape;
    Policy policy;
    /// All policies get the same slow machines and the same calls.
    std::mt19937 machines;
    std::mt19937 arrivals;
    boost::random::mt19937 choice_random;
    Reachability reachability { FailureDomainId("hall-a"), 1 };
    ServerLimits limits { this->reachability, Address("10.0.0.1:1") };
    Instant now { 100s };
    std::vector<Server> servers;
    std::vector<std::vector<BackendPointer>> views;
    std::multimap<Instant, Call> running;
    u64 ended { 0 };
    u64 late { 0 };
};

double late_share(Shape shape, Policy policy)
{
    constexpr u32 seeds = 6;
    double sum = 0;
    for (shape.seed = 1; shape.seed <= seeds; ++shape.seed)
        sum += Service(shape, policy).late_share();
    return sum / seeds;
}

}

SCENARIO("calls go to the server where they are expected to end first")
{
    // Few hosts get fresh figures of all servers, many hosts get stale ones.
    for (auto const hosts : { 1U, 6U, 60U, 300U }) {
        for (auto const calls_per_second : { 100.0, 300.0, 600.0, 800.0 }) {
            INFO(hosts << " hosts, " << calls_per_second << " calls a second");
            Shape shape;
            shape.hosts = hosts;
            shape.calls_per_second = calls_per_second;
            auto const least_loaded = late_share(shape, Policy::LeastLoaded);
            // Servers of one kind that are slow at times. Stale figures must not send all hosts to one server.
            CHECK(late_share(shape, Policy::ExpectedTime) < least_loaded + 0.01);
            // One of the servers is lastingly quicker. Hosts learn that once and need no fresh figures.
            shape.lasting = { 1.2, 0.55, 1.2 };
            CHECK(late_share(shape, Policy::ExpectedTime) < 0.95 * late_share(shape, Policy::LeastLoaded));
        }
    }
    GIVEN("hosts with fresh figures and servers with room")
    {
        Shape shape;
        shape.hosts = 6;
        THEN("about half of the late calls are avoided")
        {
            CHECK(late_share(shape, Policy::ExpectedTime) < 0.6 * late_share(shape, Policy::LeastLoaded));
        }
        THEN("looking at all servers is no worse than looking at two of them")
        {
            CHECK(late_share(shape, Policy::ExpectedTime) < late_share(shape, Policy::TwoChoices) + 0.005);
        }
    }
}

SCENARIO("calls to services whose servers report no slowness go to the least loaded server")
{
    auto slow = std::make_shared<Backend>();
    slow->server.id = EngineId("slow");
    slow->server.slots = 6;
    slow->slowness = Overload::SlownessReading { Overload::Slowness(50), Instant(100s) };
    auto busy = std::make_shared<Backend>();
    busy->server.id = EngineId("busy");
    busy->server.slots = 6;
    busy->in_flight = 3;
    std::vector<BackendPointer> const candidates { slow, busy };
    Reachability reachability { FailureDomainId("hall-a"), 1 };
    ServerLimits limits { reachability, Address("10.0.0.1:1") };
    boost::random::mt19937 random(1);
    ChoiceInputs inputs;
    inputs.now = Instant(100s);
    inputs.server_limits = &limits;
    CHECK(choose_for_call(candidates, {}, inputs, random) == slow);
    GIVEN("a service whose servers report it")
    {
        Overload::SlownessDistribution const reported;
        inputs.slowness = &reported;
        THEN("the slow server is avoided while its figure is fresh")
        {
            CHECK(choose_for_call(candidates, {}, inputs, random) == busy);
            inputs.now += 1s;
            CHECK(choose_for_call(candidates, {}, inputs, random) == slow);
        }
    }
}
