/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServerLimits.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <random>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

/// Requests that a cold server sustains, as configured for its service.
constexpr double cold_per_second = 25;
/// Number of servers that return together.
constexpr u32 rack_size = 6;
/// Requests that the operator's pages allow in any second.
constexpr double allowed_in_a_second = cold_per_second * 1.5 + 5;

/// Hosts in virtual time that send to every cold server as often as they may, as under high load without other servers.
/// Each host has its own view of the others, from the platform's table at its start and from state messages.
class SaturatingFleet {
public:
    SaturatingFleet(u32 hosts, u32 domains, u32 seed)
        : domains(domains)
        , random(seed)
    {
        Configuration configuration;
        Service service;
        service.name = ServiceName("models");
        service.cold_requests_per_second = cold_per_second;
        configuration.services.push_back(service);
        this->routing = std::make_shared<RoutingTable const>(std::move(configuration));
        for (u32 i = 0; i < hosts; ++i)
            this->add_host();
        for (auto& host : this->hosts)
            this->read_host_table(host);
        this->exchange_states();
    }

    void add_host()
    {
        auto const number = this->hosts.size();
        auto& host = this->hosts.emplace_back();
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        this->reset_host(host);
    }

    /// Restarts a share of the hosts; they lose all state.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (std::uniform_real_distribution(0.0, 1.0)(this->random) < share) {
                this->reset_host(host);
                this->read_host_table(host);
            }
        }
    }
    void read_host_table_everywhere()
    {
        for (auto& host : this->hosts)
            this->read_host_table(host);
    }

    /// Starts all servers of a rack at once, cold for `span`.
    void start_cold_servers(u32 servers, Duration span)
    {
        for (u32 i = 0; i < servers; ++i) {
            BackendServer server;
            server.id = EngineId("e" + std::to_string(i));
            server.start = ServerStart(++this->starts);
            server.service = ServiceName("models");
            server.address = Address("127.0.0.1:1000");
            server.failure_domain = FailureDomainId("hall-0");
            server.slots = 24;
            server.warm_up_left = span;
            this->servers[server.id] = server;
            for (auto& host : this->hosts)
                host.table.update(server, this->now);
        }
    }

    void run(Duration span)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            if ((this->now - Instant {}) % broadcast_period < step)
                this->exchange_states();
            for (auto& host : this->hosts)
                this->send_permitted(host);
        }
    }

    /// Maximum number of requests that any server got in any second.
    [[nodiscard]] size_t max_per_second() const
    {
        size_t max = 0;
        for (auto arrivals : this->arrivals) {
            std::ranges::sort(arrivals.second);
            size_t first = 0;
            for (size_t last = 0; last < arrivals.second.size(); ++last) {
                while (arrivals.second[last] - arrivals.second[first] >= 1s)
                    ++first;
                max = std::max(max, last - first + 1);
            }
        }
        return max;
    }
    /// Total number of requests of the server that got the fewest.
    [[nodiscard]] size_t min_total() const
    {
        size_t min = SIZE_MAX;
        for (auto const& [id, server] : this->servers) {
            auto found = this->arrivals.find({ id, server.start });
            min = std::min(min, found == this->arrivals.end() ? 0 : found->second.size());
        }
        return min;
    }
    bool is_partitioned { false };

private:
    static constexpr Duration step = 50ms;
    static constexpr Duration broadcast_period = 500ms;
    /// Maximum time to establish a connection before the request is sent on it.
    static constexpr i64 max_delay_milliseconds = 400;

    struct SimulatedHost {
        Address address;
        FailureDomainId domain;
        std::unique_ptr<Reachability> reachability;
        std::unique_ptr<ServerLimits> server_limits;
        BackendTable table;
    };

    void reset_host(SimulatedHost& host)
    {
        host.reachability = std::make_unique<Reachability>(host.domain);
        host.server_limits = std::make_unique<ServerLimits>(*host.reachability, host.address);
        host.server_limits->configure(this->routing);
        host.table = {};
        for (auto const& [id, server] : this->servers)
            host.table.update(server, this->now);
    }

    void read_host_table(SimulatedHost& host)
    {
        std::vector<KnownHost> known;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                known.push_back({ other.address, other.domain });
        }
        host.reachability->update_known_hosts(known, this->now);
    }

    void exchange_states()
    {
        if (this->is_partitioned)
            return;
        for (auto& host : this->hosts) {
            for (auto const& other : this->hosts) {
                if (other.domain == host.domain && other.address != host.address)
                    host.reachability->record_message(
                        other.address, other.reachability->own_status(broadcast_period, this->now), this->now);
            }
        }
    }

    void send_permitted(SimulatedHost& host)
    {
        std::uniform_int_distribution<i64> delay(0, max_delay_milliseconds);
        for (auto const& [id, server] : this->servers) {
            auto backend = host.table.find(id);
            // The bound applies only until the server is warm.
            while (this->now < backend->cold_until && host.server_limits->may_send(*backend, this->now)) {
                host.server_limits->record_sent(*backend, this->now);
                this->arrivals[{ id, server.start }].push_back(
                    this->now + std::chrono::milliseconds(delay(this->random)));
            }
        }
    }

    u32 domains;
    std::mt19937 random;
    std::shared_ptr<RoutingTable const> routing;
    std::list<SimulatedHost> hosts;
    std::map<EngineId, BackendServer> servers;
    /// By server and start, since requests to a former start reach no server.
    std::map<std::pair<EngineId, ServerStart>, std::vector<Instant>> arrivals;
    i64 starts { 1000 };
    Instant now { 100s };
};

}

SCENARIO("all hosts together send a cold server no more than it bears")
{
    struct Shape {
        u32 hosts;
        u32 domains;
    };
    auto const shape = GENERATE(Shape { 2, 1 }, Shape { 8, 3 }, Shape { 62, 3 }, Shape { 300, 3 }, Shape { 300, 22 });
    INFO(shape.hosts << " hosts in " << shape.domains << " domains");
    SaturatingFleet fleet(shape.hosts, shape.domains, 7);
    fleet.run(2s);
    WHEN("a rack of cold servers returns at once under high load")
    {
        fleet.start_cold_servers(rack_size, 4s);
        fleet.run(5s);
        CHECK(fleet.max_per_second() <= allowed_in_a_second);
        THEN("each server still gets at least a third of the requests that it sustains")
        {
            CHECK(static_cast<double>(fleet.min_total()) >= 4 * cold_per_second / 3);
        }
    }
    WHEN("the hosts are partitioned from each other meanwhile")
    {
        fleet.is_partitioned = true;
        fleet.run(10s);
        fleet.start_cold_servers(rack_size, 4s);
        fleet.run(5s);
        CHECK(fleet.max_per_second() <= allowed_in_a_second);
    }
    WHEN("all hosts restart while the servers are cold")
    {
        fleet.start_cold_servers(rack_size, 6s);
        fleet.run(600ms);
        fleet.restart(1);
        fleet.run(5s);
        CHECK(fleet.max_per_second() <= allowed_in_a_second);
    }
    WHEN("servers become cold again under a new start")
    {
        fleet.start_cold_servers(rack_size, 800ms);
        fleet.run(3s);
        fleet.start_cold_servers(rack_size, 4s);
        fleet.run(5s);
        CHECK(fleet.max_per_second() <= allowed_in_a_second);
    }
}

SCENARIO("any series of restarts, new hosts, cuts and cold returns keeps the bound of cold servers")
{
    CHECK(rc::check([] {
        SaturatingFleet fleet(
            *rc::gen::element<u32>(1, 8, 43, 62, 90), *rc::gen::inRange<u32>(1, 5), *rc::gen::arbitrary<u32>());
        auto const steps = *rc::gen::inRange(1, 8);
        for (int i = 0; i < steps; ++i) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.restart(*rc::gen::element(0.1, 0.5, 1.0));
                break;
            case 1:
                // The joining host reads the host table, and the running hosts read its new row.
                fleet.add_host();
                fleet.read_host_table_everywhere();
                break;
            case 2:
                fleet.is_partitioned = !fleet.is_partitioned;
                break;
            default:
                fleet.start_cold_servers(4, std::chrono::milliseconds(*rc::gen::element(300, 1000, 5000)));
            }
            fleet.run(std::chrono::milliseconds(*rc::gen::element(200, 700, 1500, 2500)));
        }
        RC_ASSERT(static_cast<double>(fleet.max_per_second()) <= allowed_in_a_second);
    }));
}

SCENARIO("no bound applies to a warm server or to a service without one")
{
    Reachability reachability(FailureDomainId("hall-a"));
    ServerLimits server_limits(reachability, Address("10.0.0.1:1"));
    Configuration configuration;
    Service bounded;
    bounded.name = ServiceName("models");
    bounded.cold_requests_per_second = cold_per_second;
    Service unbounded;
    unbounded.name = ServiceName("lanes");
    configuration.services = { bounded, unbounded };
    server_limits.configure(std::make_shared<RoutingTable const>(std::move(configuration)));
    Instant const now { 100s };
    Backend backend;
    backend.server.service = ServiceName("models");
    CHECK(server_limits.may_send(backend, now));
    backend.cold_until = now + 1s;
    THEN("a host that does not know how many hosts share the bound sends a cold server nothing")
    {
        CHECK_FALSE(server_limits.may_send(backend, now));
        CHECK(server_limits.may_send(backend, now + 1s));
    }
    THEN("a cold server of a service without a bound gets all requests")
    {
        backend.server.service = ServiceName("lanes");
        CHECK(server_limits.may_send(backend, now));
    }
}
