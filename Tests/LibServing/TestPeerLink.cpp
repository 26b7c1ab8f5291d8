/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/Returns.h>
#include <LibServing/PeerLink.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <list>

using namespace Serving;

/// The part of an entry host that exchanges messages with others. It knows one engine, and stores the updates that it
/// receives.
class PeerHost {
public:
    PeerHost(Http::asio::io_context& loop, std::string const& name, std::string const& domain)
        : settings(make_settings(name, domain))
        , context(loop, this->settings, this->log)
        , link(this->context, this->make_observer())
    {
        BackendServer server;
        server.id = EngineId("engine");
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = FailureDomainId("hall-a");
        this->engine = this->context.backends.update(server, this->context.now());
        this->link.start();
    }

    [[nodiscard]] Address const& address() const { return this->link.address(); }
    [[nodiscard]] FailureDomainId const& domain() const { return this->settings.failure_domain; }
    [[nodiscard]] u32 estimated_generations() const { return this->engine->engine.generations(); }
    void place_generation()
    {
        ++this->engine->engine.own_generations;
        this->context.use_changed();
    }

private:
    static HostSettings make_settings(std::string const& name, std::string const& domain)
    {
        HostSettings settings;
        settings.host = MemberId(name);
        settings.failure_domain = FailureDomainId(domain);
        settings.peer_listen = settings.peer_address = Address(Test::text_of(Test::free_endpoint()));
        return settings;
    }

    PeerLink::Observer make_observer()
    {
        PeerLink::Observer observer;
        observer.backend_leaves
            = [this](EngineId const& id, ServerStart, std::optional<Instant>) { this->leaving.push_back(id.value()); };
        observer.update_received = [this](wire::PlatformNews const& message, bool is_local_sender) {
            this->updates.push_back(message.version());
            this->link.relay(message, is_local_sender);
        };
        observer.progress_received = [](std::string const&, u64, Address const&) {};
        observer.updates_since = [this](std::string const&, u64 version) {
            this->fetched_after = version;
            wire::PlatformNews update;
            update.set_version(version + 1);
            return std::vector { update };
        };
        observer.own_progress = [] { return std::vector<std::pair<std::string, u64>>(); };
        return observer;
    }

    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };

public:
    ServingContext context;
    PeerLink link;
    BackendPointer engine;
    std::vector<u64> updates;
    u64 fetched_after { 0 };
    std::vector<std::string> leaving;
};

/// Several failure domains of a few hosts each, on one event loop.
class PeerFleet {
public:
    PeerFleet(std::vector<std::string> const& domains, int hosts_of_domain)
    {
        for (auto const& domain : domains)
            for (int i = 0; i < hosts_of_domain; ++i)
                this->hosts.emplace_back(this->loop, domain + '-' + std::to_string(i), domain);
        for (auto& host : this->hosts)
            host.link.update_known_hosts(this->directory());
    }

    /// The platform's table of hosts.
    [[nodiscard]] std::vector<KnownHost> directory() const
    {
        std::vector<KnownHost> rows;
        for (auto const& host : this->hosts)
            rows.push_back({ host.address(), host.domain() });
        return rows;
    }

    template<typename Predicate>
    [[nodiscard]] bool all_of(Predicate predicate) const
    {
        return std::ranges::all_of(this->hosts, predicate);
    }
    template<typename Predicate>
    void until_all(Predicate predicate)
    {
        Test::run_until(this->loop, [&] { return this->all_of(predicate); });
    }

    /// Runs until all hosts of each domain can reach each other and have received messages from all other domains.
    void until_connected()
    {
        this->until_all([&](PeerHost const& host) {
            auto now = host.context.now();
            return this->all_of([&](PeerHost const& other) {
                return &other == &host
                    || (other.domain() == host.domain()
                            ? host.context.reachability.is_reachable(other.address(), now)
                            : host.context.reachability.domain_message_age(other.domain(), now) < 1s);
            });
        });
    }

    [[nodiscard]] std::list<PeerHost>::iterator representative_of(std::string const& domain)
    {
        return std::ranges::find_if(this->hosts, [&](PeerHost const& host) {
            return host.domain() == FailureDomainId(domain)
                && host.context.reachability.representatives_before(host.address(), host.context.now()) == 0;
        });
    }

    Http::asio::io_context loop;
    std::list<PeerHost> hosts;
};

SCENARIO("every host hears what all others place, through those that speak for their domains")
{
    PeerFleet fleet({ "hall-a", "hall-b", "hall-c" }, 4);
    fleet.until_connected();
    fleet.hosts.front().place_generation();
    fleet.until_all([](PeerHost const& host) { return host.estimated_generations() == 1; });
    fleet.hosts.back().place_generation();
    fleet.until_all([](PeerHost const& host) { return host.estimated_generations() == 2; });

    THEN("a host receives messages only from the representatives of another domain")
    {
        for (auto const& host : fleet.hosts) {
            auto reachable_remote_hosts = std::ranges::count_if(fleet.hosts, [&](PeerHost const& other) {
                return other.domain() != host.domain()
                    && host.context.reachability.is_reachable(other.address(), host.context.now());
            });
            // Two representatives of each of the two other domains.
            CHECK(reachable_remote_hosts <= 2 * static_cast<i64>(Reachability::representatives_per_domain));
        }
    }
    WHEN("a host has missed updates of the platform")
    {
        auto& requester = fleet.hosts.front();
        auto& responder = *std::next(fleet.hosts.begin());
        requester.link.fetch_updates(responder.address(), "servers", 41);
        Test::run_until(fleet.loop, [&] { return !requester.updates.empty(); });
        THEN("another host sends it the updates from its log")
        {
            CHECK(responder.fetched_after == 41);
            CHECK(requester.updates == std::vector<u64> { 42 });
        }
    }
    WHEN("a host announces that an engine is leaving")
    {
        fleet.hosts.back().link.announce_leaving(*fleet.hosts.back().engine);
        fleet.until_all([&](PeerHost const& host) { return &host == &fleet.hosts.back() || !host.leaving.empty(); });
    }
    WHEN("an update of the platform is forwarded")
    {
        wire::PlatformNews update;
        update.set_version(7);
        fleet.representative_of("hall-b")->link.announce_update(update);
        auto const* sender = &*fleet.representative_of("hall-b");
        fleet.until_all([&](PeerHost const& host) { return &host == sender || !host.updates.empty(); });
        THEN("each host receives it once")
        {
            CHECK(fleet.all_of([&](PeerHost const& host) { return &host == sender || host.updates.size() == 1; }));
        }
    }
    WHEN("the first representative of a domain terminates")
    {
        auto representative = fleet.representative_of("hall-b");
        fleet.hosts.erase(representative);
        THEN("the next one takes over")
        {
            auto placing = std::ranges::find_if(
                fleet.hosts, [](PeerHost const& host) { return host.domain() == FailureDomainId("hall-b"); });
            placing->place_generation();
            fleet.until_all([](PeerHost const& host) { return host.estimated_generations() == 3; });
        }
    }
}

SCENARIO("all hosts of all domains learn of a domain whose engines have crashed")
{
    PeerFleet fleet({ "hall-a", "hall-b", "hall-c" }, 3);
    fleet.until_connected();
    Overload::ServerGroup const group { FailureDomainId("hall-a"), ServiceName("models") };
    auto is_doubtful
        = [&](PeerHost const& host) { return host.context.domain_doubt.is_doubtful(group, host.context.now()); };
    auto run_into_crash = [&](PeerHost& host) {
        for (int i = 0; i < 2; ++i)
            host.context.domain_doubt.record_failure(
                group, EngineId("engine-" + std::to_string(i)), 2, host.context.now());
        host.context.doubt_changed();
    };
    auto& first = fleet.hosts.front();
    auto& second = *std::next(fleet.hosts.begin());
    run_into_crash(first);
    fleet.loop.restart();
    fleet.loop.run_for(700ms);
    REQUIRE(is_doubtful(first));
    CHECK(std::ranges::count_if(fleet.hosts, is_doubtful) == 1);
    run_into_crash(first);
    run_into_crash(second);
    fleet.until_all(is_doubtful);
    WHEN("one host gets a response from there")
    {
        REQUIRE(first.context.domain_doubt.record_response(group, first.context.now()));
        first.context.doubt_changed();
        fleet.until_all([&](PeerHost const& host) { return !is_doubtful(host); });
    }
}

SCENARIO("hosts of all domains count a host that has joined")
{
    PeerFleet fleet({ "hall-a", "hall-b" }, 3);
    fleet.until_connected();
    auto all_count = [](u32 hosts) {
        return
            [hosts](PeerHost const& host) { return host.context.reachability.fleet_size(host.context.now()) == hosts; };
    };
    fleet.until_all(all_count(6));
    auto& joined = fleet.hosts.emplace_back(fleet.loop, "hall-b-new", "hall-b");
    joined.link.update_known_hosts(fleet.directory());
    fleet.until_all(all_count(7));
}

SCENARIO("a domain that starts anew is heard by those who knew its former hosts")
{
    PeerFleet fleet({ "hall-a", "hall-b" }, 2);
    fleet.until_connected();
    std::erase_if(fleet.hosts, [](PeerHost const& host) { return host.domain() == FailureDomainId("hall-b"); });
    auto& joined = fleet.hosts.emplace_back(fleet.loop, "hall-b-new", "hall-b");
    joined.link.update_known_hosts(fleet.directory());
    fleet.until_connected();
    joined.place_generation();
    fleet.until_all([](PeerHost const& host) { return host.estimated_generations() == 1; });
    fleet.hosts.front().place_generation();
    fleet.until_all([](PeerHost const& host) { return host.estimated_generations() == 2; });
}

SCENARIO("a host is destroyed while all of its timers are due")
{
    PeerFleet fleet({ "hall-a" }, 2);
    fleet.until_connected();
    fleet.hosts.back().place_generation();
    Test::stall_for(1s);
    // The event loop collects the due timers first, and queues their handlers behind this one.
    Http::asio::post(fleet.loop, [&] { fleet.hosts.pop_back(); });
    auto const& remaining = fleet.hosts.front().context;
    auto const later = remaining.now() + 1s;
    Test::run_until(fleet.loop, [&] { return remaining.now() > later; });
    CHECK(fleet.hosts.size() == 1);
    CHECK(remaining.reachability.reachable_local_hosts(remaining.now()) == 0);
}

SCENARIO("the messages of a host do not grow with its domain, and a lost host is noticed all the same")
{
    constexpr int host_count = 60;
    PeerFleet fleet({ "hall-a" }, host_count);
    fleet.until_connected();
    auto run_for = [&](Duration span) {
        fleet.loop.restart();
        fleet.loop.run_for(span);
    };
    auto sent_by_all = [&] {
        u64 sent = 0;
        for (auto const& host : fleet.hosts)
            sent += host.context.metrics.counter("lilac_peer_messages_sent_total");
        return sent;
    };
    run_for(1s);
    auto const before = sent_by_all();
    run_for(3s);
    // The first eight hosts send to all others in each second; each of the rest sends to those eight, and in turn to
    // all others within a background period of 3.5 s, of which three rounds are left. Four rounds may fall into three
    // seconds.
    constexpr u64 first = 8;
    constexpr u64 in_turn = host_count / 3;
    constexpr u64 per_round = first * (host_count - 1) + (host_count - first) * (first + in_turn);
    auto const sent = sent_by_all() - before;
    CHECK(sent <= 4 * per_round);
    CHECK(sent < 3 * u64(host_count) * (host_count - 1) * 3 / 4);
    THEN("hosts that get messages in turn are not taken for silent in between")
    {
        run_for(4s);
        for (auto const& host : fleet.hosts)
            CHECK(host.context.reachability.reachable_local_hosts(host.context.now()) == host_count - 1);
    }

    WHEN("a host terminates that is none of the first")
    {
        auto const lost = std::ranges::max_element(fleet.hosts, {}, [](PeerHost const& host) {
            return host.context.reachability.representatives_before(host.address(), host.context.now());
        });
        auto const address = lost->address();
        fleet.hosts.erase(lost);
        auto const begun = AK::BootClock::now();
        fleet.until_all(
            [&](PeerHost const& host) { return !host.context.reachability.is_reachable(address, host.context.now()); });
        THEN("all others notice it sooner than by its own missing messages")
        {
            CHECK(AK::BootClock::now() - begun < 5s);
        }
    }
    WHEN("a host reports one as lost that still sends messages")
    {
        auto& host = fleet.hosts.front();
        auto const& other = fleet.hosts.back();
        auto const now = host.context.now();
        host.context.reachability.record_message(other.address(), now);
        CHECK_FALSE(host.context.reachability.record_loss(other.address(), now + 100ms));
        CHECK(host.context.reachability.is_reachable(other.address(), now + 100ms));
        AND_WHEN("it has been silent for a while, and then sends one")
        {
            CHECK(host.context.reachability.record_loss(other.address(), now + 2s));
            CHECK_FALSE(host.context.reachability.is_reachable(other.address(), now + 2s));
            host.context.reachability.record_message(other.address(), now + 2s);
            CHECK(host.context.reachability.is_reachable(other.address(), now + 2s));
        }
    }
}

SCENARIO("hosts of one failure domain know when each other's refused callers return")
{
    PeerFleet fleet({ "hall-a", "hall-b" }, 2);
    fleet.until_connected();
    ServiceName const models("models");
    auto& refusing = fleet.hosts.front();
    GenerationWithoutCapacity const generation { "attempt", models, { OrganisationId("plaza"), 7 },
        { TokenCount(2000), TokenCount(500) }, 4s, 39s };
    auto const after = plan_return(refusing.context, generation, refusing.context.choice_inputs(0.3));
    CHECK(after >= 200ms);

    auto due_generations = [&](PeerHost& host) {
        u32 sum = 0;
        auto const first = Overload::ReturnBook::slot_of(host.context.now());
        for (auto slot = first; slot < first + Overload::ReturnBook::slot_count; ++slot)
            sum += host.context.return_plans[models].book.due_in_slot(slot).generations;
        return sum;
    };
    auto& neighbour = *std::next(fleet.hosts.begin());
    auto& remote = fleet.hosts.back();
    Test::run_until(fleet.loop, [&] { return due_generations(neighbour) == 1; });
    CHECK(due_generations(remote) == 0);
    CHECK(refusing.context.returning_callers.size() == 1);

    SECTION("an entry with impossible values changes nothing")
    {
        wire::HostUse message;
        auto& entry = *message.add_returns();
        entry.set_service(models.value());
        entry.set_generations(1);
        entry.set_tokens(std::numeric_limits<uint64_t>::max());
        apply_returns(neighbour.context, MemberId("other"), message);
        message.mutable_returns(0)->set_tokens(1);
        message.mutable_returns(0)->set_due_in_milliseconds(std::numeric_limits<uint32_t>::max());
        apply_returns(neighbour.context, MemberId("other"), message);
        message.mutable_returns(0)->set_due_in_milliseconds(1000);
        message.mutable_returns(0)->set_service("unknown");
        apply_returns(neighbour.context, MemberId("other"), message);
        CHECK(due_generations(neighbour) <= 1);
        CHECK(!neighbour.context.return_plans.contains(ServiceName("unknown")));
    }
}
