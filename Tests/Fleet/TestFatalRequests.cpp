/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestTerminations.h>
#include <Tests/Fleet/LossyNetwork.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <list>
#include <random>

using namespace Serving;

namespace {

/// Within this time, every reachable host knows the events of the other hosts.
constexpr Duration contact_time = 3s;
/// Servers that a request may reach more than `contact_time` after it has terminated its third one.
constexpr u32 max_late_arrivals = 3;

/// Hosts in virtual time that repeatedly get one request that terminates each server running it. Messages between hosts
/// arrive late, and some are lost.
class FatalRequestFleet {
public:
    FatalRequestFleet(u32 host_count, double loss_rate)
        : network(loss_rate, host_count)
        , random(host_count)
    {
        for (u32 i = 0; i < host_count; ++i)
            this->start(this->hosts.emplace_back());
    }

    void run(Duration span, Duration between_attempts)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            this->deliver();
            this->broadcast_full_state();
            this->detect_terminations();
            if (this->now >= this->next_attempt) {
                this->next_attempt = this->now + between_attempts;
                this->send_attempt();
            }
        }
    }

    /// Sends the next attempt at once.
    void send_next_now() { this->next_attempt = this->now; }
    /// Restarts a random host without any state.
    void restart_one() { this->start(this->random_host()); }

    [[nodiscard]] u32 terminated() const { return this->terminated_servers; }
    [[nodiscard]] u32 late_arrival_count() const { return this->late_arrivals; }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration full_state_period = 1s;
    /// Time from a request's arrival at its server until the host has detected the server's termination.
    static constexpr Duration time_to_termination = 100ms;

    struct SimulatedHost {
        std::unique_ptr<ServingContext> context;
        Instant started_at {};
        Instant next_full_state {};
        u64 round { 0 };
        Test::LossyNetwork::Inbox inbox;
    };
    struct Termination {
        Instant detected_at;
        SimulatedHost* host;
        Instant sent_at;
        Backend server;
    };

    void start(SimulatedHost& host)
    {
        host.inbox.clear();
        host.started_at = this->now;
        host.next_full_state = this->now + step * std::uniform_int_distribution(1, 15)(this->random);
        host.context = std::make_unique<ServingContext>(this->loop, this->settings, this->log);
        host.context->clock = [this] { return this->now += Test::clock_step; };
        host.context->quarantine_changed = [this, &host](std::span<RequestFingerprint const> requests) {
            wire::HostUse message;
            for (auto const& request : requests)
                put_request_termination(message, *host.context, request);
            this->network.broadcast(this->hosts, host, message, this->now);
        };
        std::erase_if(this->terminations, [&](Termination const& termination) { return termination.host == &host; });
    }

    SimulatedHost& random_host()
    {
        std::uniform_int_distribution<size_t> number(0, this->hosts.size() - 1);
        return *std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(number(this->random)));
    }

    void deliver()
    {
        for (auto& host : this->hosts)
            host.inbox.deliver(
                this->now, [&](wire::HostUse const& message) { apply_request_terminations(*host.context, message); });
    }

    void broadcast_full_state()
    {
        for (auto& host : this->hosts) {
            if (this->now < host.next_full_state)
                continue;
            host.next_full_state = this->now + full_state_period;
            wire::HostUse message;
            put_recent_request_terminations(message, *host.context, host.round++);
            if (message.ending_size() > 0)
                this->network.broadcast(this->hosts, host, message, this->now);
        }
    }

    void detect_terminations()
    {
        for (auto const& termination : this->terminations) {
            if (termination.detected_at <= this->now)
                record_termination_under(*termination.host->context, this->request, termination.server,
                    { termination.sent_at, termination.detected_at });
        }
        std::erase_if(
            this->terminations, [&](Termination const& termination) { return termination.detected_at <= this->now; });
    }

    void send_attempt()
    {
        auto& host = this->random_host();
        if (host.context->quarantine.held_for(this->request, this->now))
            return;
        Backend server;
        server.server.id = EngineId("e" + std::to_string(++this->terminated_servers));
        this->terminations.push_back({ this->now + time_to_termination, &host, this->now, server });
        if (this->terminated_servers == Quarantine::terminations_until_quarantine)
            this->third_termination_at = this->now + time_to_termination;
        bool const knows_others = this->now - host.started_at >= contact_time;
        if (this->third_termination_at && this->now - *this->third_termination_at > contact_time && knows_others)
            ++this->late_arrivals;
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Test::LossyNetwork network;
    std::mt19937 random;
    std::list<SimulatedHost> hosts;
    std::vector<Termination> terminations;
    Instant now { 100s };
    Instant next_attempt {};
    std::optional<Instant> third_termination_at;
    u32 terminated_servers { 0 };
    u32 late_arrivals { 0 };
    RequestFingerprint const request { OrganisationId("plaza"), 1 };
};

}

// If each host counted alone, a request could terminate three servers per host, so 198 with 66 hosts.
SCENARIO("a request that ends what runs it reaches few servers more, however many hosts there are")
{
    auto const host_count = GENERATE(8u, 66u, 295u);
    CAPTURE(host_count);
    WHEN("nothing is lost")
    {
        FatalRequestFleet fleet(host_count, 0);
        fleet.run(15s, 400ms);
        CHECK(fleet.late_arrival_count() == 0);
        CHECK(fleet.terminated() <= Quarantine::terminations_until_quarantine + 3);
    }
    WHEN("callers send it twenty times a second")
    {
        FatalRequestFleet fleet(host_count, 0);
        fleet.run(5s, 50ms);
        // Attempts until the third termination has been detected (100 ms) and announced (300 ms at most), and a few
        // steps.
        THEN("it reaches only the servers that it reaches within the delay of one message")
        {
            CHECK(fleet.terminated() <= 16);
        }
    }
    WHEN("hosts restart long after it was quarantined")
    {
        FatalRequestFleet fleet(host_count, 0.1);
        fleet.run(5s, 400ms);
        fleet.run(5s, 1h);
        // If no host that knew it is left, hosts read it from the platform's table, which is not simulated here.
        for (u32 i = 0; i < host_count / 4; ++i)
            fleet.restart_one();
        fleet.run(contact_time, 1h);
        fleet.send_next_now();
        fleet.run(5s, 50ms);
        THEN("they know of its quarantine before it arrives") { CHECK(fleet.late_arrival_count() == 0); }
    }
    WHEN("a third of the messages between hosts is lost, under high load")
    {
        FatalRequestFleet fleet(host_count, 0.33);
        fleet.run(12s, 100ms);
        CHECK(fleet.late_arrival_count() <= max_late_arrivals);
    }
    WHEN("hosts restart repeatedly")
    {
        FatalRequestFleet fleet(host_count, 0.1);
        for (int i = 0; i < 20; ++i) {
            fleet.run(700ms, 200ms);
            fleet.restart_one();
        }
        CHECK(fleet.late_arrival_count() <= max_late_arrivals);
    }
}
