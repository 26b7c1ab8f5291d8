/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestTerminations.h>
#include <Tests/Fleet/LossyNetwork.h>
#include <catch2/catch.hpp>
#include <list>
#include <random>

using namespace Serving;

namespace {

/// Every host in touch knows by then what happened elsewhere.
constexpr Duration contact_time = 3s;
/// Servers that a request may reach later than that after it has ended its third.
constexpr u32 most_reached_later = 3;

/// Hosts in virtual time to which callers send one request again and again that ends what runs it. What hosts tell each
/// other comes late, and some of it never.
class EndingFleet {
public:
    EndingFleet(u32 host_count, double lost_share)
        : network(lost_share, host_count)
        , random(host_count)
    {
        for (u32 i = 0; i < host_count; ++i)
            this->start(this->hosts.emplace_back());
    }

    void run(Duration span, Duration between_tries)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            this->deliver();
            this->broadcast_full_state();
            this->see_ends();
            if (this->now >= this->next_try) {
                this->next_try = this->now + between_tries;
                this->come_again();
            }
        }
    }

    /// The next try comes at once.
    void let_come_now() { this->next_try = this->now; }
    /// Some host ends and starts anew, with nothing kept.
    void restart_one() { this->start(this->any_host()); }

    [[nodiscard]] u32 ended() const { return this->servers_ended; }
    [[nodiscard]] u32 reached_later() const { return this->late_arrivals; }

private:
    static constexpr Duration step = 20ms;
    static constexpr Duration whole_period = 1s;
    /// From a request's arrival at its server until the host has seen that it has ended.
    static constexpr Duration time_to_end = 100ms;

    struct Machine {
        std::unique_ptr<ServingContext> context;
        Instant started_at {};
        Instant next_whole {};
        u64 round { 0 };
        Test::LossyNetwork::Inbox inbox;
    };
    struct End {
        Instant seen_at;
        Machine* host;
        Instant sent_at;
        Backend server;
    };

    void start(Machine& host)
    {
        host.inbox.clear();
        host.started_at = this->now;
        host.next_whole = this->now + step * std::uniform_int_distribution(1, 15)(this->random);
        host.context = std::make_unique<ServingContext>(this->loop, this->settings, this->log);
        host.context->clock = [this] { return this->now; };
        host.context->quarantine_changed = [this, &host](RequestFingerprint const& request) {
            wire::HostUse message;
            put_request_termination(message, *host.context, request);
            this->network.broadcast(this->hosts, host, message, this->now);
        };
        std::erase_if(this->ends, [&](End const& end) { return end.host == &host; });
    }

    Machine& any_host()
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
            if (this->now < host.next_whole)
                continue;
            host.next_whole = this->now + whole_period;
            wire::HostUse message;
            put_recent_request_terminations(message, *host.context, host.round++);
            if (message.ending_size() > 0)
                this->network.broadcast(this->hosts, host, message, this->now);
        }
    }

    void see_ends()
    {
        for (auto const& end : this->ends) {
            if (end.seen_at <= this->now)
                record_termination_under(*end.host->context, this->request, end.server);
        }
        std::erase_if(this->ends, [&](End const& end) { return end.seen_at <= this->now; });
    }

    void come_again()
    {
        auto& host = this->any_host();
        if (host.context->quarantine.held_for(this->request, this->now))
            return;
        Backend server;
        server.server.id = EngineId("e" + std::to_string(++this->servers_ended));
        this->ends.push_back({ this->now + time_to_end, &host, this->now, server });
        if (this->servers_ended == Quarantine::terminations_until_quarantine)
            this->enough_ended_at = this->now + time_to_end;
        bool const is_in_touch = this->now - host.started_at >= contact_time;
        if (this->enough_ended_at && this->now - *this->enough_ended_at > contact_time && is_in_touch)
            ++this->late_arrivals;
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Test::LossyNetwork network;
    std::mt19937 random;
    std::list<Machine> hosts;
    std::vector<End> ends;
    Instant now { 100s };
    Instant next_try {};
    std::optional<Instant> enough_ended_at;
    u32 servers_ended { 0 };
    u32 late_arrivals { 0 };
    RequestFingerprint const request { OrganisationId("plaza"), 1 };
};

}

// Each host alone would let a request end three servers; 66 hosts would let it end 198.
SCENARIO("a request that ends what runs it reaches few servers more, however many hosts there are")
{
    auto const host_count = GENERATE(8u, 66u, 295u);
    CAPTURE(host_count);
    WHEN("nothing is lost")
    {
        EndingFleet fleet(host_count, 0);
        fleet.run(15s, 400ms);
        CHECK(fleet.reached_later() == 0);
        CHECK(fleet.ended() <= Quarantine::terminations_until_quarantine + 3);
    }
    WHEN("callers come twenty times a second")
    {
        EndingFleet fleet(host_count, 0);
        fleet.run(5s, 50ms);
        // Those that come until the third end has been seen (100 ms) and told (300 ms at most), and a few steps.
        THEN("it reaches only what it does within one word's delay") { CHECK(fleet.ended() <= 16); }
    }
    WHEN("hosts start anew long after it was held back")
    {
        EndingFleet fleet(host_count, 0.1);
        fleet.run(5s, 400ms);
        fleet.run(5s, 1h);
        // Where none is left that knew it, the platform's table has it, which is not played here.
        for (u32 i = 0; i < host_count / 4; ++i)
            fleet.restart_one();
        fleet.run(contact_time, 1h);
        fleet.let_come_now();
        fleet.run(5s, 50ms);
        THEN("they know it before it comes") { CHECK(fleet.reached_later() == 0); }
    }
    WHEN("a third of what hosts tell each other is lost, and callers press")
    {
        EndingFleet fleet(host_count, 0.33);
        fleet.run(12s, 100ms);
        CHECK(fleet.reached_later() <= most_reached_later);
    }
    WHEN("hosts start anew all the time")
    {
        EndingFleet fleet(host_count, 0.1);
        for (int i = 0; i < 20; ++i) {
            fleet.run(700ms, 200ms);
            fleet.restart_one();
        }
        CHECK(fleet.reached_later() <= most_reached_later);
    }
}
