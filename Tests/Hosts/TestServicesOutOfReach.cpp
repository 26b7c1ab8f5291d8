/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>

using namespace Test;

namespace {

/// The part of a host that exchanges messages with others.
class Peer {
public:
    Peer(Http::asio::io_context& loop, Address const& other)
        : context(loop, this->settings, this->log)
        , link(this->context, make_observer())
    {
        this->link.update_known_hosts({ { other, FailureDomainId("hall-a") } });
        this->link.start();
    }

private:
    static Serving::HostSettings make_settings()
    {
        Serving::HostSettings settings;
        settings.host = MemberId("host-b");
        settings.failure_domain = FailureDomainId("hall-b");
        settings.peer_listen = settings.peer_address = Address(text_of(free_endpoint()));
        return settings;
    }
    static Serving::PeerLink::Observer make_observer()
    {
        Serving::PeerLink::Observer observer;
        observer.backend_leaves = [](EngineId const&, ServerStart, std::optional<Instant>) {};
        observer.update_received = [](lilactiller::wire::PlatformNews const&, bool) {};
        observer.progress_received = [](std::string const&, u64, Address const&) {};
        observer.updates_since = [](std::string const&, u64) { return std::vector<lilactiller::wire::PlatformNews>(); };
        observer.own_progress = [] { return std::vector<std::pair<std::string, u64>>(); };
        return observer;
    }

    Serving::HostSettings settings { make_settings() };
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Serving::ServingContext context;
    Serving::PeerLink link;
};

/// A host of a domain without a server of a service, and the domain that has one. The second domain fails as a whole,
/// which looks like a partition from the first one.
class PartitionedDomain {
public:
    explicit PartitionedDomain(std::string path)
        : path(std::move(path))
    {
        this->runner = &this->hosts.platform.add_runner("lane-1", "lanes", "hall-b");
        this->hosts.start();
        this->peer.emplace(this->hosts.platform.loop, this->address);
        this->hosts.run_for(800ms);
    }

    std::shared_ptr<Call> call()
    {
        return this->hosts.finished_call(
            0, HostFixture::request(this->path, "attempt-" + std::to_string(++this->calls)));
    }

    void partition()
    {
        this->peer.reset();
        this->runner->terminate();
        this->hosts.run_for(1300ms);
    }
    /// The hosts of the other domain are reachable again, and so is its server.
    void end_partition()
    {
        this->hosts.platform.add_runner("lane-2", "lanes", "hall-b");
        this->peer.emplace(this->hosts.platform.loop, this->address);
        this->hosts.run_for(1s);
    }

    /// Number of requests that the host has sent to any server.
    [[nodiscard]] size_t dispatch_count()
    {
        auto const log = this->hosts.log_of(0);
        size_t count = 0;
        for (size_t at = log.find("E2401 "); at != std::string::npos; at = log.find("E2401 ", at + 1))
            ++count;
        return count;
    }

    Address address;
    HostGroup hosts { { "hall-a" },
        [this](Serving::HostSettings const& settings) { this->address = settings.peer_address; } };
    PlatformRunner* runner { nullptr };

private:
    std::string path;
    int calls { 0 };
    std::optional<Peer> peer;
};

}

// Guards against callers that wait for connection attempts although the host knows that none can succeed.
SCENARIO("a domain is cut off from all servers of a service")
{
    PartitionedDomain domain("/lookup/1");
    REQUIRE(domain.call()->status == 200);
    domain.partition();
    REQUIRE(domain.call()->status == 503);
    domain.hosts.run_for(150ms);
    REQUIRE_FALSE(domain.hosts.is_ready(0));
    auto const dispatches = domain.dispatch_count();

    WHEN("callers still come on open connections")
    {
        auto const call = domain.call();
        THEN("they are refused at once, and sent to another host by a new connection")
        {
            CHECK(call->status == 503);
            CHECK(call->headers["Connection"] == "close");
            CHECK(std::stod(std::string(call->headers["Retry-After"])) <= 0.1);
            CHECK(domain.dispatch_count() == dispatches);
        }
    }
    WHEN("the partition lasts longer than a failed connection is remembered")
    {
        domain.hosts.run_for(6s);
        THEN("the host has probed meanwhile, so that no caller has to")
        {
            CHECK_FALSE(domain.hosts.is_ready(0));
            CHECK(domain.call()->status == 503);
            CHECK(domain.dispatch_count() == dispatches);
        }
    }
    WHEN("the partition ends")
    {
        domain.end_partition();
        THEN("the host is ready and serves again")
        {
            CHECK(domain.hosts.is_ready(0));
            CHECK(domain.call()->status == 200);
        }
    }
}
