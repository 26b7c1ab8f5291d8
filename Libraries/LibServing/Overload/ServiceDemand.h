/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibCore/HandlerGuard.h>
#include <LibHttp/ConnectionPool.h>
#include <LibOverload/GenerationKinds.h>
#include <LibOverload/OrganisationShares.h>
#include <LibOverload/Shortage.h>
#include <LibOverload/WaitingList.h>
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <unordered_map>

namespace Serving {

/// What callers request of the engines of one service, and the generations that wait for capacity at this host.
class ServiceDemand {
public:
    using Clock = std::function<Instant()>;
    /// Looks for capacity for a waiting generation. `is_last`: it cannot wait any longer, and is refused if there is
    /// none. The generation removes itself from the list when it is placed or refused.
    using Look = std::function<void(bool is_last)>;

    ServiceDemand(Http::asio::io_context& loop, boost::random::mt19937& random, Clock clock)
        : random(random)
        , clock(std::move(clock))
        , timer(loop)
    {
    }

    Overload::GenerationKinds kinds;
    Overload::Shortage shortage;
    Overload::OrganisationShares shares;

    /// Returns empty if the generation cannot wait.
    std::optional<Overload::WaiterId> add_waiting(Overload::Waiter const&, Look);
    void remove_waiting(Overload::WaiterId);
    [[nodiscard]] bool has_waiting_before(u32 priority) const { return this->list.has_before(priority, this->clock()); }
    [[nodiscard]] size_t waiting() const { return this->list.size(); }

private:
    /// Further generations would most likely not find capacity either.
    static constexpr int max_failed_looks = 3;

    void schedule_look();
    void refuse_expired();
    void look_for_all();
    /// Returns whether the generation has left the list.
    bool look_for(Overload::WaiterId, bool is_last);

    boost::random::mt19937& random;
    Clock clock;
    AK::Timer timer;
    /// When the timer runs out; empty if it does not run.
    std::optional<Instant> scheduled_at;
    Instant next_look_at {};
    Overload::WaitingList list;
    std::map<Overload::WaiterId, Look> looks;
    Core::HandlerGuard guard;
};

/// The demand of all services that run generations.
class ServiceDemands {
public:
    ServiceDemands(Http::asio::io_context& loop, boost::random::mt19937& random, ServiceDemand::Clock clock)
        : loop(loop)
        , random(random)
        , clock(std::move(clock))
    {
    }

    [[nodiscard]] ServiceDemand& of(ServiceName const& service)
    {
        return this->by_service.try_emplace(service, this->loop, this->random, this->clock).first->second;
    }
    [[nodiscard]] bool contains(ServiceName const& service) const { return this->by_service.contains(service); }
    [[nodiscard]] size_t size() const { return this->by_service.size(); }
    template<typename Visit>
    void for_each(Visit visit)
    {
        for (auto& [service, demand] : this->by_service)
            visit(service, demand);
    }

private:
    Http::asio::io_context& loop;
    boost::random::mt19937& random;
    ServiceDemand::Clock clock;
    std::unordered_map<ServiceName, ServiceDemand> by_service;
};

/// What a generation has to leave free for others.
struct CapacityLimits {
    std::vector<Overload::GenerationKind> keep_free_for;
    std::vector<Overload::GenerationKind> most_urgent;
    double use_of_share { 0 };
};

/// The limits for a generation of this priority and organisation. Outside of a shortage nothing is kept free.
CapacityLimits capacity_limits(ServiceDemand&, u32 priority, OrganisationId const&, Instant now);

/// Whether generations of the service may wait at this host: there is a shortage, and they differ in priority.
bool may_wait(ServiceDemand const&, Instant now);

}
