/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

// When all hosts of a large fleet started together, each read the whole list of backend servers from the platform:
// hosts times servers. These tests start the hosts of one failure domain together, in virtual time, and count what they
// read from the platform and when the last of them knows the table.

#include <LibServing/Snapshot/SnapshotFetch.h>
#include <LibServing/Snapshot/SnapshotServer.h>
#include <LibServing/Snapshot/StartOrder.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Serving;

namespace {

class StartingDomain {
public:
    struct Shape {
        u32 hosts { 197 };
        u32 strong_hosts { 10 };
        size_t table_bytes { 350'000 };
    };

    explicit StartingDomain(Shape shape)
        : random(shape.hosts)
    {
        Platform::TableSnapshot table { {}, 7, 7 };
        std::string value;
        for (size_t i = 0; i < shape.table_bytes; ++i)
            value.push_back(static_cast<char>(this->random()));
        table.rows.push_back({ "servers", std::move(value), 7 });
        this->packed = pack_snapshot("servers", table);
        for (u32 i = 0; i < shape.hosts; ++i) {
            bool const is_strong = i < shape.strong_hosts;
            this->hosts.push_back(std::make_unique<Host>(*this, i, is_strong ? 3 : 0, is_strong ? 1000.0 : 20.0));
        }
        // Hosts register within a second; each knows those that registered before it, and is told of the later ones.
        std::uniform_real_distribution<double> registration(0, 1);
        for (auto& host : this->hosts)
            this->by_address[host->peer.address] = host.get();
        for (auto& host : this->hosts)
            host->registers_at = this->now + AK::from_seconds(registration(this->random));
    }

    void run(Duration span)
    {
        for (auto const end = this->now + span; this->now < end; this->now += step) {
            for (auto& host : this->hosts)
                this->advance(*host);
        }
    }
    void set_platform_unavailable(bool is_unavailable) { this->platform_is_unavailable = is_unavailable; }
    /// Separates these hosts from the platform.
    void separate_from_platform(double share)
    {
        for (auto& host : this->hosts)
            host->is_separated = std::bernoulli_distribution(share)(this->random);
    }
    /// Ends the processes of a share of the hosts without notice.
    void kill(double share)
    {
        for (auto& host : this->hosts)
            host->is_dead = std::bernoulli_distribution(share)(this->random);
    }
    /// Starts one host while all others are running. Returns the time until it knows the table.
    Duration start_one_more()
    {
        auto const number = static_cast<u32>(this->hosts.size());
        this->hosts.push_back(std::make_unique<Host>(*this, number, 0, 20.0));
        auto& host = *this->hosts.back();
        this->by_address[host.peer.address] = &host;
        host.registers_at = this->now;
        auto const begun = this->now;
        while (!host.knows_table && this->now < begun + 30s)
            this->run(step);
        return this->now - begun;
    }

    [[nodiscard]] u32 platform_reads() const { return this->reads; }
    [[nodiscard]] size_t loaded_count() const
    {
        return static_cast<size_t>(
            std::ranges::count_if(this->hosts, [](auto const& host) { return host->knows_table && !host->is_dead; }));
    }
    [[nodiscard]] size_t living_count() const
    {
        return static_cast<size_t>(std::ranges::count_if(this->hosts, [](auto const& host) { return !host->is_dead; }));
    }
    [[nodiscard]] Duration last_loaded_after() const { return this->last_loaded - this->started_at; }

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration tick_period = 100ms;
    static constexpr Duration keep_period = 4s;
    /// Time until others know that a host has loaded the table.
    static constexpr Duration report_delay = 1s;
    static constexpr Duration network_delay = 1ms;
    /// Time to read the table from the platform.
    static constexpr Duration read_time = 1s;

    struct Host {
        Host(StartingDomain& domain, u32 number, u32 strength, double megabits)
            : peer { Address("10.0." + std::to_string(number / 200) + '.' + std::to_string(number % 200) + ":1"),
                strength }
            , fetch("servers",
                  { [&domain, this](Address const& holder, wire::SnapshotRequest const& request) {
                       domain.requests.push_back({ domain.now + network_delay, holder, this->peer.address, request });
                   },
                      [&domain, this] { return domain.order_of(*this).sources(domain.known_holders()); },
                      [this](PackedSnapshot packed) { this->fetched = std::move(packed); } })
            , server(megabits * 1e6 / 8 / 2,
                  { [&domain, this](Address const& receiver, wire::SnapshotChunk const& chunk) {
                       domain.chunks.push_back({ domain.now + network_delay, receiver, this->peer.address, chunk });
                   },
                      [](std::string const&) { return std::optional<Platform::TableSnapshot>(); } })
        {
        }
        SnapshotPeer peer;
        SnapshotFetch fetch;
        SnapshotServer server;
        std::optional<PackedSnapshot> fetched;
        Instant registers_at {};
        Instant next_tick {};
        std::optional<Instant> read_ends_at;
        bool knows_table { false };
        Instant loaded_at {};
        bool is_separated { false };
        bool is_dead { false };
    };
    template<typename Message>
    struct InTransit {
        Instant arrives_at;
        Address receiver;
        Address sender;
        Message message;
    };

    [[nodiscard]] StartOrder order_of(Host const& own) const
    {
        std::vector<SnapshotPeer> others;
        for (auto const& host : this->hosts) {
            bool const is_registered = host->registers_at <= this->now;
            // Dead hosts count as silent after a few seconds.
            bool const seems_to_live = !host->is_dead || this->now - host->registers_at < 3s;
            if (host.get() != &own && is_registered && seems_to_live)
                others.push_back(host->peer);
        }
        return { own.peer, std::move(others) };
    }
    [[nodiscard]] std::vector<Address> known_holders() const
    {
        std::vector<Address> holders;
        for (auto const& host : this->hosts) {
            if (host->knows_table && !host->is_dead && this->now - host->loaded_at >= report_delay)
                holders.push_back(host->peer.address);
        }
        return holders;
    }
    Host* find(Address const& address)
    {
        auto found = this->by_address.find(address);
        return found == this->by_address.end() || found->second->is_dead ? nullptr : found->second;
    }

    void advance(Host& host)
    {
        if (&host == this->hosts.front().get())
            this->deliver_all();
        if (host.is_dead || host.registers_at > this->now)
            return;
        host.server.send_pending(this->now);
        if (host.fetched || (host.read_ends_at && *host.read_ends_at <= this->now)) {
            host.read_ends_at.reset();
            host.fetched.reset();
            host.knows_table = true;
            host.loaded_at = this->now;
            host.next_tick = this->now;
            this->last_loaded = this->now;
        }
        if (host.knows_table && this->now >= host.next_tick) {
            host.server.keep(this->packed, this->now);
            host.next_tick = this->now + keep_period;
        }
        if (host.knows_table || host.read_ends_at || this->now < host.next_tick)
            return;
        host.next_tick = this->now + tick_period;
        StartOrder::Situation situation;
        situation.knows_hosts_for = this->now - host.registers_at;
        situation.age = *situation.knows_hosts_for;
        situation.holder_is_known = !this->known_holders().empty();
        situation.fetch_is_progressing = host.fetch.is_progressing(this->now);
        auto const source = this->order_of(host).source_in(situation);
        bool const platform_is_away = host.is_separated || this->platform_is_unavailable;
        bool const uses_peers = source == TableSource::Peers || (platform_is_away && situation.holder_is_known);
        if (uses_peers && source != TableSource::None)
            host.fetch.tick(this->now);
        if (source == TableSource::Platform && !platform_is_away) {
            ++this->reads;
            host.read_ends_at = this->now + read_time;
        }
    }

    void deliver_all()
    {
        auto deliver = [this](auto& messages, auto const& handle) {
            auto const due
                = std::ranges::partition(messages, [this](auto const& entry) { return entry.arrives_at > this->now; });
            std::vector arrived(due.begin(), due.end());
            messages.erase(due.begin(), due.end());
            for (auto const& entry : arrived) {
                if (auto* host = this->find(entry.receiver))
                    handle(*host, entry);
            }
        };
        deliver(this->requests, [this](Host& host, auto const& entry) {
            host.server.handle_request(entry.message, entry.sender, this->now);
        });
        deliver(this->chunks,
            [this](Host& host, auto const& entry) { host.fetch.handle_chunk(entry.message, entry.sender, this->now); });
    }

    std::mt19937 random;
    Instant now { 100s };
    Instant started_at { this->now };
    Instant last_loaded {};
    PackedSnapshot packed;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<Address, Host*> by_address;
    std::vector<InTransit<wire::SnapshotRequest>> requests;
    std::vector<InTransit<wire::SnapshotChunk>> chunks;
    bool platform_is_unavailable { false };
    u32 reads { 0 };
};

/// Reads of the platform that a domain may make when all its hosts start, whatever their number.
constexpr u32 max_reads = 16;

}

SCENARIO("few hosts of a domain read the platform when all start together")
{
    for (u32 hosts : { 8U, 60U, 197U, 400U }) {
        GIVEN(std::to_string(hosts) + " hosts, some of them strong")
        {
            StartingDomain domain({ hosts, std::max(1U, hosts / 20), 350'000 });
            domain.run(12s);
            CHECK(domain.loaded_count() == hosts);
            CHECK(domain.platform_reads() <= max_reads);
            CHECK(domain.last_loaded_after() < 10s);
        }
    }
    GIVEN("hosts that are all weak")
    {
        StartingDomain domain({ 100, 0, 350'000 });
        domain.run(15s);
        CHECK(domain.loaded_count() == 100);
        CHECK(domain.platform_reads() <= max_reads);
        CHECK(domain.last_loaded_after() < 12s);
    }
}

SCENARIO("a domain starts although those that would read the platform cannot")
{
    StartingDomain domain({});
    WHEN("a third of the hosts is separated from the platform")
    {
        domain.separate_from_platform(0.35);
        domain.run(14s);
        CHECK(domain.loaded_count() == domain.living_count());
        CHECK(domain.platform_reads() <= max_reads);
    }
    WHEN("a third of the hosts dies while they start")
    {
        domain.run(800ms);
        domain.kill(0.35);
        domain.run(14s);
        CHECK(domain.loaded_count() == domain.living_count());
        CHECK(domain.platform_reads() <= 2 * max_reads);
    }
    WHEN("the platform is unavailable for some seconds")
    {
        domain.set_platform_unavailable(true);
        domain.run(5s);
        domain.set_platform_unavailable(false);
        domain.run(12s);
        CHECK(domain.loaded_count() == domain.living_count());
    }
}

SCENARIO("a host that starts alone loads the table from a running one")
{
    StartingDomain domain({});
    domain.run(12s);
    auto const reads = domain.platform_reads();
    CHECK(domain.start_one_more() < 2s);
    CHECK(domain.platform_reads() == reads);
}
