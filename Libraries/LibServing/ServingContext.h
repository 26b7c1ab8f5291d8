/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/StructuredLog.h>
#include <LibHttp/ConnectionPool.h>
#include <LibOverload/DomainDoubt.h>
#include <LibOverload/HostLoad.h>
#include <LibOverload/OutputBudget.h>
#include <LibOverload/PaceTable.h>
#include <LibOverload/ReturnPlan.h>
#include <LibOverload/ReturningCallers.h>
#include <LibOverload/ServicePace.h>
#include <LibOverload/SlownessDistribution.h>
#include <LibRollout/Rollouts.h>
#include <LibServing/Admission.h>
#include <LibServing/ForwardingHosts.h>
#include <LibServing/HostSettings.h>
#include <LibServing/LogRateLimiter.h>
#include <LibServing/OpenRequests.h>
#include <LibServing/Overload/ServiceDemand.h>
#include <LibServing/PlacementRate.h>
#include <LibServing/PlatformContact.h>
#include <LibServing/ProcessCheck.h>
#include <LibServing/Quarantine.h>
#include <LibServing/Reachability.h>
#include <LibServing/RetryBudget.h>
#include <LibServing/RoutingTable.h>
#include <LibServing/ServerLimits.h>
#include <LibServing/ServiceContact.h>
#include <LibServing/StopSchedule.h>

namespace Serving {

/// State that all requests of this host share. It is used from the thread of one event loop only.
struct ServingContext {
    ServingContext(Http::asio::io_context& loop, HostSettings const& settings, Core::StructuredLog& log)
        : loop(loop)
        , settings(settings)
        , log(log)
        , connections(loop)
        , host_load(link_bytes_per_second(settings))
        , backends(settings.regions, settings.server_forwarders)
        , budget(settings.retry_budget)
        , reachability(settings.failure_domain, strength_of(settings))
        , platform_contact(settings.failure_domain, settings.follower.wait + settings.follower.response_timeout / 2)
        , server_limits(reachability, settings.peer_address)
        , processes(loop)
        , rollouts(
              settings.exposure,
              [this](ServiceName const& service, std::optional<SoftwareVersion> const& target) {
                  this->backends.set_target_version(service, target);
              },
              [this](Rollout::KnownRollout const& rollout) { this->rollout_advanced(rollout); })
        , random(settings.random_seed)
        , demands(loop, this->random, [this] { return this->now(); })
    {
        constexpr u32 max_trial_offset_milliseconds = 1000;
        this->quarantine.set_trial_offset(
            std::chrono::milliseconds(settings.random_seed % max_trial_offset_milliseconds));
    }

    Http::asio::io_context& loop;
    HostSettings const& settings;
    Core::StructuredLog& log;
    Core::Metrics metrics;
    Http::ConnectionPool connections;
    Overload::HostLoad host_load;
    BackendTable backends;
    RetryBudget budget;
    Reachability reachability;
    PlatformContact platform_contact;
    ServerLimits server_limits;
    PlacementRate placements;
    /// Only services whose servers report a slowness have an entry.
    std::unordered_map<ServiceName, Overload::SlownessDistribution> slowness_of_services;
    /// The lasting speeds of engines.
    Overload::PaceTable paces;
    /// How engines of a service work, for the same services.
    std::unordered_map<ServiceName, Overload::ServicePace> pace_of_services;
    LogRateLimiter pace_log { 1s };
    /// When callers return that were refused for lack of capacity, for each service that has refused some.
    std::unordered_map<ServiceName, Overload::ReturnPlan> return_plans;
    Overload::ReturningCallers returning_callers;
    /// Null if the servers of the service don't report their slowness.
    [[nodiscard]] Overload::SlownessDistribution const* slowness_of(ServiceName const& service) const
    {
        auto found = this->slowness_of_services.find(service);
        return found == this->slowness_of_services.end() ? nullptr : &found->second;
    }
    ProcessCheck processes;
    Overload::DomainDoubt domain_doubt;
    ServiceContact service_contact;
    ForwardingHosts forwarding_hosts;
    /// The services of which this host can reach no backend server, as of the last tick.
    std::vector<ServiceName> unreachable_services;
    Rollout::Rollouts rollouts;
    Quarantine quarantine;
    /// When any backend server last reported a rate limit.
    Instant limit_reported_at {};
    /// Whether this host has read the quarantine entries from before its start.
    bool knows_quarantine { false };
    /// Maximum age of the estimates of remote failure domains while their hosts are reachable.
    Duration remote_estimate_age { 0 };
    boost::random::mt19937 random;
    ServiceDemands demands;
    /// Null until a configuration is known.
    std::shared_ptr<RoutingTable const> routing;
    /// Set when this process has been told to stop.
    std::optional<Instant> stop_begun_at;
    [[nodiscard]] bool is_leaving() const { return this->stop_begun_at.has_value(); }
    /// Empty unless this process has been told to stop.
    [[nodiscard]] std::optional<StopSchedule> stop_schedule() const
    {
        if (!this->stop_begun_at)
            return {};
        return StopSchedule(*this->stop_begun_at, this->settings.stop_grace);
    }
    OpenRequests open_requests;
    /// For the responses that are being collected; null if the host's memory is not known.
    std::shared_ptr<Overload::OutputBudget> collected_responses;
    /// To be called when this host's use of engines has changed.
    std::function<void()> use_changed { [] {} };
    /// To be called when connecting to a backend server failed. This host avoids it for `avoided`.
    std::function<void(Backend const&, Duration avoided)> backend_unreachable { [](Backend const&, Duration) {} };
    /// To be called when a doubt about a failure domain has begun or ended by this host's own evidence.
    std::function<void()> doubt_changed { [] {} };
    /// To be called when a backend server refuses requests, on its first refusal and on later ones.
    std::function<void(Backend const&)> backend_refuses { [](Backend const&) {} };
    /// To be called when a backend server reports in a response that it is leaving.
    std::function<void(Backend const&)> backend_leaves { [](Backend const&) {} };
    /// To be called when another process has responded at a backend server's address.
    std::function<void(Backend const&)> backend_terminated { [](Backend const&) {} };

    /// To be called when this host has observed the first sign of a shortage of capacity.
    std::function<void(ServiceName const&)> shortage_began { [](ServiceName const&) {} };
    /// To be called when a record of a roll-out has come into force.
    std::function<void(Rollout::KnownRollout const&)> rollout_advanced { [](Rollout::KnownRollout const&) {} };
    /// To be called when a backend server has reported a different limit, or no longer reports one.
    std::function<void(Backend const&)> limit_changed { [](Backend const&) {} };
    /// To be called when this host has observed a speed of an engine that other hosts don't know.
    std::function<void()> paces_changed { [] {} };
    /// To be called when this host has recorded a termination of a server that ran a request with these fingerprints,
    /// or has cleared them after such terminations.
    std::function<void(std::span<RequestFingerprint const>)> quarantine_changed {
        [](std::span<RequestFingerprint const>) {}
    };
    /// To be called when a request becomes quarantined, by this host or another one, or is released.
    std::function<void(RequestFingerprint const&, bool is_held)> hold_changed { [](RequestFingerprint const&, bool) {
    } };

    /// Records an exception that ended the handling of an event. `request`: its attempt, or "none" if it is not known.
    void record_exception(std::exception const& exception, std::string const& request)
    {
        this->metrics.add("handler_exceptions_total");
        this->log.event(Core::EventNumber::HandlerFailed, request.empty() ? "none" : request)
            .with("reason", exception.what());
    }

    /// The clock that all decisions use. Tests replace it.
    std::function<Instant()> clock { [] { return AK::BootClock::now(); } };
    [[nodiscard]] Instant now() const { return this->clock(); }
    [[nodiscard]] ChoiceInputs choice_inputs(double other_domain_cost) const
    {
        auto now = this->now();
        auto const& own_domain = this->settings.failure_domain;
        return { own_domain, this->reachability.silent_domains(now), now, other_domain_cost, {}, own_domain,
            this->placements.estimate_unseen(
                now, this->reachability.reachable_local_hosts(now) + 1, this->remote_estimate_age),
            &this->server_limits };
    }
};

}
