/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/RateLimit.h>
#include <Tests/Fleet/LossyNetwork.h>
#include <Tests/Support/MovingClock.h>
#include <algorithm>
#include <list>
#include <random>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

/// Within this time, every reachable host knows the limit that a server has advertised.
constexpr Duration contact_time = 3s;
constexpr Duration window = 4s;
/// Requests of a host count from this time after it has relayed a response that advertises the limit.
constexpr Duration limit_effect_delay = 500ms;

/// Hosts in virtual time that send each call to one of a few servers, which advertise limits. Messages between hosts
/// arrive late, and some are lost.
class FleetWithLimits {
public:
    struct Shape {
        u32 hosts { 8 };
        u32 domains { 3 };
        u32 servers { 3 };
        /// Total over all callers.
        double calls_per_second { 36 };
        double loss_rate { 0.05 };
        u32 seed { 1 };
    };

    explicit FleetWithLimits(Shape shape)
        : shape(shape)
        , network(shape.loss_rate, shape.seed)
        , random(shape.seed)
    {
        for (u32 i = 0; i < shape.servers; ++i)
            this->servers.push_back({ EngineId("lane-" + std::to_string(i)), {}, {}, {}, {} });
        for (u32 i = 0; i < shape.hosts; ++i)
            this->add_host();
        for (auto& host : this->hosts)
            this->read_host_table(host);
        this->run(6s);
    }

    /// From now on a server advertises this limit, or none.
    void set_limit(u32 server, std::optional<double> per_second)
    {
        auto& limited = this->servers.at(server);
        limited.limit.reset();
        if (per_second)
            limited.limit = RequestRate(*per_second);
        limited.limit_since = this->now;
        // Earlier requests were subject to the server's previous limit.
        limited.counted.clear();
        for (auto& host : this->hosts)
            host.first_relayed_at.erase(limited.id);
    }

    /// Restarts a share of the hosts; they lose all state.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (!this->chance(share))
                continue;
            this->reset_host(host);
            this->read_host_table(host);
        }
    }
    void set_partitioned(bool now_partitioned) { this->is_partitioned = now_partitioned; }
    void set_load(double calls_per_second) { this->shape.calls_per_second = calls_per_second; }

    void run(Duration span)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            this->deliver();
            this->broadcast_full_state();
            this->handle_responses();
            auto const expected = this->shape.calls_per_second * AK::to_seconds(step);
            for (auto i = std::poisson_distribution<u32>(expected)(this->random); i > 0; --i)
                this->handle_call(this->random_host());
        }
    }

    /// Maximum number of requests by which any window exceeded a limit that had been advertised for at least
    /// `contact_time`, over all servers.
    [[nodiscard]] double worst_excess() const { return this->excess; }
    [[nodiscard]] u32 refused() const { return this->refused_calls; }
    [[nodiscard]] size_t arrivals_within(u32 server, Duration span) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            this->servers.at(server).arrivals, [&](Instant moment) { return moment >= this->now - span; }));
    }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration broadcast_period = 500ms;
    static constexpr Duration work_time = 60ms;

    struct Server {
        EngineId id;
        std::optional<RequestRate> limit;
        Instant limit_since;
        std::vector<Instant> arrivals;
        /// Those arrivals whose host knew the limit from a response that it had relayed.
        std::vector<Instant> counted;
    };
    struct SimulatedHost {
        Address address;
        FailureDomainId domain;
        HostSettings settings;
        std::unique_ptr<ServingContext> context;
        Test::LossyNetwork::Inbox inbox;
        /// When the host first relayed a response with each server's current limit.
        std::map<EngineId, Instant> first_relayed_at;
        Instant started_at {};
        Instant next_broadcast {};
    };
    struct Response {
        Instant arrives_at;
        SimulatedHost* host;
        Instant host_started_at;
        EngineId server;
        std::optional<RequestRate> limit;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }
    SimulatedHost& random_host()
    {
        std::uniform_int_distribution<size_t> number(0, this->hosts.size() - 1);
        return *std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(number(this->random)));
    }

    void add_host()
    {
        auto const number = this->hosts.size();
        auto& host = this->hosts.emplace_back();
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->shape.domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        host.settings.failure_domain = host.domain;
        host.settings.peer_address = host.address;
        this->reset_host(host);
    }

    void reset_host(SimulatedHost& host)
    {
        host.inbox.clear();
        host.first_relayed_at.clear();
        host.started_at = this->now;
        host.context = std::make_unique<ServingContext>(this->loop, host.settings, this->log);
        host.context->clock = [this] { return this->now += Test::clock_step; };
        host.context->limit_changed = [this, &host](Backend const& backend) {
            wire::HostUse message;
            put_rate_limit(message, *host.context, backend);
            this->broadcast(host, message);
        };
        for (auto const& server : this->servers) {
            BackendServer listed;
            listed.id = server.id;
            listed.service = ServiceName("lanes");
            listed.address = Address("127.0.0.1:1000");
            listed.failure_domain = FailureDomainId("hall-0");
            listed.slots = 6;
            host.context->backends.update(listed, this->now);
        }
    }

    void read_host_table(SimulatedHost& host)
    {
        std::vector<KnownHost> known;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                known.push_back({ other.address, other.domain });
        }
        host.context->reachability.update_known_hosts(known, this->now);
    }

    void broadcast(SimulatedHost const& from, wire::HostUse const& message)
    {
        if (!this->is_partitioned)
            this->network.broadcast(this->hosts, from, message, this->now);
    }

    void deliver()
    {
        for (auto& host : this->hosts)
            host.inbox.deliver(
                this->now, [&](wire::HostUse const& message) { apply_rate_limits(*host.context, message); });
    }

    void broadcast_full_state()
    {
        for (auto& host : this->hosts) {
            if (this->now < host.next_broadcast)
                continue;
            host.next_broadcast = this->now + broadcast_period;
            wire::HostUse message;
            put_recent_rate_limits(message, *host.context, LimitScope::Own);
            if (message.limits_size() > 0)
                this->broadcast(host, message);
        }
    }

    void handle_call(SimulatedHost& host)
    {
        auto& context = *host.context;
        auto const& candidates = context.backends.of_service(ServiceName("lanes"));
        auto chosen = choose_for_call(candidates, {}, context.choice_inputs(0), context.random);
        if (!chosen) {
            ++this->refused_calls;
            return;
        }
        context.server_limits.record_sent(*chosen, this->now);
        auto& server = *std::ranges::find(this->servers, chosen->server.id, &Server::id);
        server.arrivals.push_back(this->now);
        auto const first_relayed = host.first_relayed_at.find(server.id);
        if (first_relayed != host.first_relayed_at.end() && this->now - first_relayed->second >= limit_effect_delay)
            server.counted.push_back(this->now);
        this->check(server);
        ++chosen->in_flight;
        this->responses.push_back({ this->now + work_time, &host, host.started_at, server.id, server.limit });
    }

    void check(Server const& server)
    {
        if (!server.limit || this->now - server.limit_since < contact_time)
            return;
        auto const first
            = std::ranges::find_if(server.counted, [&](Instant moment) { return moment > this->now - window; });
        auto const count = static_cast<double>(server.counted.end() - first);
        auto const allowed = 1.5 * server.limit->value() * AK::to_seconds(window) + 5;
        this->excess = std::max(this->excess, count - allowed);
    }

    void handle_responses()
    {
        for (auto const& response : this->responses) {
            if (response.arrives_at > this->now || response.host->started_at != response.host_started_at)
                continue;
            auto backend = response.host->context->backends.find(response.server);
            --backend->in_flight;
            record_rate_limit(*response.host->context, *backend, response.limit);
            auto const& server = *std::ranges::find(this->servers, response.server, &Server::id);
            if (response.limit && response.limit == server.limit)
                response.host->first_relayed_at.try_emplace(response.server, this->now);
        }
        std::erase_if(this->responses, [&](Response const& response) { return response.arrives_at <= this->now; });
    }

    Shape shape;
    Http::asio::io_context loop;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Test::LossyNetwork network;
    std::mt19937 random;
    std::vector<Server> servers;
    std::list<SimulatedHost> hosts;
    std::vector<Response> responses;
    Instant now { 100s };
    bool is_partitioned { false };
    u32 refused_calls { 0 };
    double excess { 0 };
};

}

// If each host applied the limit for itself alone, the server would get 8, 66 or 300 times the limit.
SCENARIO("hosts of any number send a server no more than the limit that it names")
{
    auto const hosts = GENERATE(8u, 66u, 300u);
    auto const limit = GENERATE(2.0, 5.5, 50.0);
    CAPTURE(hosts, limit);
    FleetWithLimits fleet({ hosts, 3, 3, 36, 0.05, 7 });
    GIVEN("two servers of three that advertise a limit")
    {
        fleet.set_limit(0, limit);
        fleet.set_limit(1, limit);
        fleet.run(10s);
        CHECK(fleet.worst_excess() <= 0);
        THEN("the third one gets the rest") { CHECK(fleet.refused() == 0); }
        WHEN("they withdraw it")
        {
            fleet.set_limit(0, {});
            fleet.set_limit(1, {});
            fleet.run(35s);
            THEN("they get work as before")
            {
                CHECK(fleet.arrivals_within(0, 4s) > 20);
                CHECK(fleet.arrivals_within(1, 4s) > 20);
            }
        }
    }
    GIVEN("servers that all advertise one, and three times as many calls")
    {
        for (u32 i = 0; i < 3; ++i)
            fleet.set_limit(i, limit);
        fleet.run(3s);
        fleet.set_load(100);
        fleet.run(12s);
        CHECK(fleet.worst_excess() <= 0);
        THEN("each still gets a substantial share of its limit")
        {
            for (u32 i = 0; i < 3; ++i)
                CHECK(static_cast<double>(fleet.arrivals_within(i, 8s)) >= std::min(8 * limit / 3, 30.0));
        }
        WHEN("hosts restart")
        {
            fleet.restart(0.5);
            fleet.run(6s);
            CHECK(fleet.worst_excess() <= 0);
        }
    }
}

SCENARIO("any series of limits, restarts, cuts and loads keeps the limits that servers name")
{
    rc::prop("of fleets of any size", [] {
        FleetWithLimits::Shape shape;
        shape.hosts = *rc::gen::element<u32>(1, 3, 8, 43, 90);
        shape.domains = *rc::gen::inRange<u32>(1, 5);
        shape.servers = *rc::gen::inRange<u32>(1, 6);
        shape.calls_per_second = 12.0 * shape.servers;
        shape.loss_rate = *rc::gen::element(0.0, 0.05, 0.3);
        shape.seed = *rc::gen::inRange<u32>(1, 100'000);
        FleetWithLimits fleet(shape);
        for (auto what : *rc::gen::container<std::vector<u8>>(8, rc::gen::inRange<u8>(0, 10))) {
            if (what < 4)
                fleet.set_limit(what % shape.servers, 2 + 3.5 * what);
            else if (what == 4)
                fleet.set_limit(shape.seed % shape.servers, {});
            else if (what == 5)
                fleet.restart(0.4);
            else if (what < 8)
                fleet.set_load((what == 6 ? 40.0 : 4.0) * shape.servers);
            else
                fleet.set_partitioned(what == 8);
            fleet.run(2500ms);
        }
        RC_ASSERT(fleet.worst_excess() <= 0);
    });
}
