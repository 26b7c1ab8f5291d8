/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PeerLink.h>
#include <Tests/Support/Endpoints.h>
#include <Tests/Support/LoopWait.h>
#include <list>

using namespace Serving;

/// One entry host as far as its talk with others goes: it knows one engine, and keeps the news that it hears.
class TalkingHost {
public:
    TalkingHost(Http::asio::io_context& loop, std::string const& name, std::string const& domain)
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
    [[nodiscard]] u32 believed_generations() const { return this->engine->engine.generations(); }
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
            this->news.push_back(message.version());
            this->link.relay(message, is_local_sender);
        };
        observer.progress_received = [](std::string const&, u64, Address const&) {};
        observer.updates_since = [this](std::string const&, u64 version) {
            this->fetched_after = version;
            wire::PlatformNews news;
            news.set_version(version + 1);
            return std::vector { news };
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
    std::vector<u64> news;
    u64 fetched_after { 0 };
    std::vector<std::string> leaving;
};

/// Failure domains of a few hosts each, on one loop.
class TalkingFleet {
public:
    TalkingFleet(std::vector<std::string> const& domains, int hosts_of_domain)
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

    /// All hosts of each domain hear each other, and each hears of all other domains.
    void until_heard()
    {
        this->until_all([&](TalkingHost const& host) {
            auto now = host.context.now();
            return this->all_of([&](TalkingHost const& other) {
                return &other == &host
                    || (other.domain() == host.domain()
                            ? host.context.reach.is_reachable(other.address(), now)
                            : host.context.reach.domain_message_age(other.domain(), now) < 1s);
            });
        });
    }

    [[nodiscard]] std::list<TalkingHost>::iterator speaker_of(std::string const& domain)
    {
        return std::ranges::find_if(this->hosts, [&](TalkingHost const& host) {
            return host.domain() == FailureDomainId(domain)
                && host.context.reach.representatives_before(host.address(), host.context.now()) == 0;
        });
    }

    Http::asio::io_context loop;
    std::list<TalkingHost> hosts;
};

SCENARIO("every host hears what all others place, through those that speak for their domains")
{
    TalkingFleet fleet({ "hall-a", "hall-b", "hall-c" }, 4);
    fleet.until_heard();
    fleet.hosts.front().place_generation();
    fleet.until_all([](TalkingHost const& host) { return host.believed_generations() == 1; });
    fleet.hosts.back().place_generation();
    fleet.until_all([](TalkingHost const& host) { return host.believed_generations() == 2; });

    THEN("of another domain a host hears only those that speak for it")
    {
        for (auto const& host : fleet.hosts) {
            auto heard_elsewhere = std::ranges::count_if(fleet.hosts, [&](TalkingHost const& other) {
                return other.domain() != host.domain()
                    && host.context.reach.is_reachable(other.address(), host.context.now());
            });
            // Two other domains, and two hosts of each.
            CHECK(heard_elsewhere <= 2 * static_cast<i64>(Reachability::representatives_per_domain));
        }
    }
    WHEN("a host has missed changes of the platform")
    {
        auto& asker = fleet.hosts.front();
        auto& asked = *std::next(fleet.hosts.begin());
        asker.link.fetch_updates(asked.address(), "servers", 41);
        Test::run_until(fleet.loop, [&] { return !asker.news.empty(); });
        THEN("another one gives it those that it has kept")
        {
            CHECK(asked.fetched_after == 41);
            CHECK(asker.news == std::vector<u64> { 42 });
        }
    }
    WHEN("a host says that an engine leaves")
    {
        fleet.hosts.back().link.announce_leaving(*fleet.hosts.back().engine);
        fleet.until_all([&](TalkingHost const& host) { return &host == &fleet.hosts.back() || !host.leaving.empty(); });
    }
    WHEN("a change of the platform is passed on")
    {
        wire::PlatformNews news;
        news.set_version(7);
        fleet.speaker_of("hall-b")->link.announce_update(news);
        auto const* teller = &*fleet.speaker_of("hall-b");
        fleet.until_all([&](TalkingHost const& host) { return &host == teller || !host.news.empty(); });
        THEN("each host hears it once")
        {
            CHECK(fleet.all_of([&](TalkingHost const& host) { return &host == teller || host.news.size() == 1; }));
        }
    }
    WHEN("the host that speaks for a domain is gone")
    {
        auto speaker = fleet.speaker_of("hall-b");
        fleet.hosts.erase(speaker);
        THEN("the next one speaks in its place")
        {
            auto placing = std::ranges::find_if(
                fleet.hosts, [](TalkingHost const& host) { return host.domain() == FailureDomainId("hall-b"); });
            placing->place_generation();
            fleet.until_all([](TalkingHost const& host) { return host.believed_generations() == 3; });
        }
    }
}

SCENARIO("hosts of all domains count one that has joined")
{
    TalkingFleet fleet({ "hall-a", "hall-b" }, 3);
    fleet.until_heard();
    auto all_count = [](u32 hosts) {
        return [hosts](TalkingHost const& host) { return host.context.reach.fleet_size(host.context.now()) == hosts; };
    };
    fleet.until_all(all_count(6));
    auto& fresh = fleet.hosts.emplace_back(fleet.loop, "hall-b-new", "hall-b");
    fresh.link.update_known_hosts(fleet.directory());
    fleet.until_all(all_count(7));
}

SCENARIO("a domain that starts anew is heard by those who knew its former hosts")
{
    TalkingFleet fleet({ "hall-a", "hall-b" }, 2);
    fleet.until_heard();
    std::erase_if(fleet.hosts, [](TalkingHost const& host) { return host.domain() == FailureDomainId("hall-b"); });
    auto& fresh = fleet.hosts.emplace_back(fleet.loop, "hall-b-new", "hall-b");
    fresh.link.update_known_hosts(fleet.directory());
    fleet.until_heard();
    fresh.place_generation();
    fleet.until_all([](TalkingHost const& host) { return host.believed_generations() == 1; });
    fleet.hosts.front().place_generation();
    fleet.until_all([](TalkingHost const& host) { return host.believed_generations() == 2; });
}

SCENARIO("a host goes while all that it has to do is due")
{
    TalkingFleet fleet({ "hall-a" }, 2);
    fleet.until_heard();
    fleet.hosts.back().place_generation();
    Test::stall_for(1s);
    // The loop looks first what is due and puts it into its queue, behind this.
    Http::asio::post(fleet.loop, [&] { fleet.hosts.pop_back(); });
    auto const& left = fleet.hosts.front().context;
    auto const later = left.now() + 1s;
    Test::run_until(fleet.loop, [&] { return left.now() > later; });
    CHECK(fleet.hosts.size() == 1);
    CHECK(left.reach.reachable_local_hosts(left.now()) == 0);
}
