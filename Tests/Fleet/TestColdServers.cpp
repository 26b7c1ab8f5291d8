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

/// What the operator's pages allow in any second, for `cold_per_second` 25: half as much again, and five.
constexpr double cold_per_second = 25;
/// Servers that come back together.
constexpr u32 rack = 6;
constexpr double allowed_in_a_second = cold_per_second * 1.5 + 5;

/// Hosts in virtual time, each of which sends to every cold server whenever it may: callers press, and nothing else is
/// left. Each has its own view of the others, from the platform's table at its start and from what it hears.
class PressingFleet {
public:
    PressingFleet(u32 hosts, u32 domains, u32 seed)
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
            this->read_table(host);
        this->talk();
    }

    void add_host()
    {
        auto const number = this->hosts.size();
        auto& host = this->hosts.emplace_back();
        host.domain = FailureDomainId("hall-" + std::to_string(number % this->domains));
        host.address = Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1");
        this->begin(host);
    }

    /// A share of the hosts ends and starts again; it remembers nothing.
    void restart(double share)
    {
        for (auto& host : this->hosts) {
            if (std::uniform_real_distribution(0.0, 1.0)(this->random) < share) {
                this->begin(host);
                this->read_table(host);
            }
        }
    }
    void read_table_everywhere()
    {
        for (auto& host : this->hosts)
            this->read_table(host);
    }

    /// A rack comes back: all of its servers at once, cold for `span`.
    void cold_return(u32 servers, Duration span)
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
            if ((this->now - Instant {}) % talk_period < step)
                this->talk();
            for (auto& host : this->hosts)
                this->press(host);
        }
    }

    /// The most that any server got in any second.
    [[nodiscard]] size_t most_in_a_second() const
    {
        size_t most = 0;
        for (auto arrivals : this->arrivals) {
            std::ranges::sort(arrivals.second);
            size_t first = 0;
            for (size_t last = 0; last < arrivals.second.size(); ++last) {
                while (arrivals.second[last] - arrivals.second[first] >= 1s)
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }
    /// Of the server that got least.
    [[nodiscard]] size_t least_in_all() const
    {
        size_t least = SIZE_MAX;
        for (auto const& [id, server] : this->servers) {
            auto found = this->arrivals.find({ id, server.start });
            least = std::min(least, found == this->arrivals.end() ? 0 : found->second.size());
        }
        return least;
    }
    bool is_cut { false };

private:
    static constexpr Duration step = 50ms;
    static constexpr Duration talk_period = 500ms;
    /// A connection may take so long to come up before the request is sent on it.
    static constexpr i64 longest_delay_milliseconds = 400;

    struct Machine {
        Address address;
        FailureDomainId domain;
        std::unique_ptr<Reachability> reach;
        std::unique_ptr<ServerLimits> server_limits;
        BackendTable table;
    };

    void begin(Machine& host)
    {
        host.reach = std::make_unique<Reachability>(host.domain);
        host.server_limits = std::make_unique<ServerLimits>(*host.reach, host.address);
        host.server_limits->configure(this->routing);
        host.table = {};
        for (auto const& [id, server] : this->servers)
            host.table.update(server, this->now);
    }

    void read_table(Machine& host)
    {
        std::vector<KnownHost> known;
        for (auto const& other : this->hosts) {
            if (other.address != host.address)
                known.push_back({ other.address, other.domain });
        }
        host.reach->update_known_hosts(known, this->now);
    }

    void talk()
    {
        if (this->is_cut)
            return;
        for (auto& host : this->hosts) {
            for (auto const& other : this->hosts) {
                if (other.domain == host.domain && other.address != host.address)
                    host.reach->record_message(
                        other.address, other.reach->own_status(talk_period, this->now), this->now);
            }
        }
    }

    void press(Machine& host)
    {
        std::uniform_int_distribution<i64> delay(0, longest_delay_milliseconds);
        for (auto const& [id, server] : this->servers) {
            auto backend = host.table.find(id);
            // Once it is warm the bound is over.
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
    std::list<Machine> hosts;
    std::map<EngineId, BackendServer> servers;
    /// By start: what was sent to a former one reaches nobody.
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
    PressingFleet fleet(shape.hosts, shape.domains, 7);
    fleet.run(2s);
    WHEN("a rack comes back cold at once while callers press")
    {
        fleet.cold_return(rack, 4s);
        fleet.run(5s);
        CHECK(fleet.most_in_a_second() <= allowed_in_a_second);
        THEN("each server gets a good part of what it bears all the same")
        {
            CHECK(static_cast<double>(fleet.least_in_all()) >= 4 * cold_per_second / 3);
        }
    }
    WHEN("the hosts are cut off from each other meanwhile")
    {
        fleet.is_cut = true;
        fleet.run(10s);
        fleet.cold_return(rack, 4s);
        fleet.run(5s);
        CHECK(fleet.most_in_a_second() <= allowed_in_a_second);
    }
    WHEN("all hosts end and start again while the servers are cold")
    {
        fleet.cold_return(rack, 6s);
        fleet.run(600ms);
        fleet.restart(1);
        fleet.run(5s);
        CHECK(fleet.most_in_a_second() <= allowed_in_a_second);
    }
    WHEN("servers become cold a second time under a new start")
    {
        fleet.cold_return(rack, 800ms);
        fleet.run(3s);
        fleet.cold_return(rack, 4s);
        fleet.run(5s);
        CHECK(fleet.most_in_a_second() <= allowed_in_a_second);
    }
}

SCENARIO("any series of restarts, new hosts, cuts and cold returns keeps the bound of cold servers")
{
    CHECK(rc::check([] {
        PressingFleet fleet(
            *rc::gen::element<u32>(1, 8, 43, 62, 90), *rc::gen::inRange<u32>(1, 5), *rc::gen::arbitrary<u32>());
        auto const steps = *rc::gen::inRange(1, 8);
        for (int i = 0; i < steps; ++i) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.restart(*rc::gen::element(0.1, 0.5, 1.0));
                break;
            case 1:
                // A host that joins reads the table, and those that run hear of it.
                fleet.add_host();
                fleet.read_table_everywhere();
                break;
            case 2:
                fleet.is_cut = !fleet.is_cut;
                break;
            default:
                fleet.cold_return(4, std::chrono::milliseconds(*rc::gen::element(300, 1000, 5000)));
            }
            fleet.run(std::chrono::milliseconds(*rc::gen::element(200, 700, 1500, 2500)));
        }
        RC_ASSERT(static_cast<double>(fleet.most_in_a_second()) <= allowed_in_a_second);
    }));
}

SCENARIO("a server that is warm, or of a service without a bound, is not held back")
{
    Reachability reach(FailureDomainId("hall-a"));
    ServerLimits server_limits(reach, Address("10.0.0.1:1"));
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
    THEN("a host that does not know how many share it sends nothing to one that is cold")
    {
        CHECK_FALSE(server_limits.may_send(backend, now));
        CHECK(server_limits.may_send(backend, now + 1s));
    }
    THEN("one of a service without a bound takes everything")
    {
        backend.server.service = ServiceName("lanes");
        CHECK(server_limits.may_send(backend, now));
    }
}
