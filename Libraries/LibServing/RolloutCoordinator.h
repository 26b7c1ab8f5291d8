/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/Owner.h>
#include <LibServing/HostPlatform.h>
#include <LibServing/PeerLink.h>
#include <LibServing/RolloutMessages.h>

namespace Serving {

/// Takes part in the roll-outs that the operator has ordered: follows their records in a table of the platform, reports
/// this host's answers to the representative of its domain, and decides while this host is the one that reads the
/// platform for all domains. The table is read only once there is an order.
template<HostPlatform P>
class RolloutCoordinator {
public:
    static constexpr auto table = "lilactiller_rollouts";
    using Follower = Platform::ChangeFollower<typename P::Store>;

    RolloutCoordinator(ServingContext& context, PeerLink& peers,
        std::function<void(Platform::TableUpdate const&)> on_fetched, std::function<void(u64 version)> on_missed)
        : context(context)
        , peers(peers)
        , read_store(context.loop, context.settings.platform.value())
        , write_store(context.loop, context.settings.platform.value())
        , record_follower(context.loop, this->read_store, table,
              this->make_observer(std::move(on_fetched), std::move(on_missed)), context.settings.follower)
        , owner(this->write_store, make_encoding(), context.rollouts, [this] { return this->context.now(); })
    {
        context.rollout_advanced = [this](Rollout::KnownRollout const& rollout) { this->log_record(rollout); };
    }

    [[nodiscard]] Follower& follower() { return this->record_follower; }

    /// Must be called several times per second.
    void tick()
    {
        if (this->context.rollouts.all().empty())
            return;
        if (!std::exchange(this->is_following, true)) {
            this->record_follower.set_following(Platform::Following::None);
            this->record_follower.start();
        }
        this->update_following();
        auto const now = this->context.now();
        if (now < this->next_report_at || !this->context.rollouts.has_unfinished())
            return;
        this->next_report_at = now + report_period;
        this->report();
    }

    /// Handles a tally of another host, or of another domain.
    void handle_tally(wire::RolloutTally const& message, Address const& sender)
    {
        auto const& own = this->peers.address();
        auto const now = this->context.now();
        bool const is_of_domain = !message.failure_domain().empty();
        auto const source = is_of_domain ? domain_source(FailureDomainId(message.failure_domain())) : sender.value();
        this->tallies[ServiceName(message.service())].apply(source, decode_tally(message), now);
        auto const first = this->context.reachability.first_representative(own, now);
        bool const must_forward = is_of_domain && first != own && !this->context.reachability.is_local(sender);
        if (must_forward)
            this->peers.send_tally(std::span(&first, 1), message);
    }

private:
    /// A bad version is noticed this much later at most. A tally is some hundred bytes.
    static constexpr Duration report_period = 250ms;
    inline static std::string const own_source { "own" };

    static constexpr std::string_view domain_prefix = "domain ";
    static std::string domain_source(FailureDomainId const& domain)
    {
        return std::string(domain_prefix) + domain.value();
    }
    static bool is_local_source(std::string const& source) { return !source.starts_with(domain_prefix); }

    static typename Rollout::Owner<typename P::Store>::Encoding make_encoding()
    {
        return { table, encode_rollout_record, decode_rollout_record, P::rollout_status_row };
    }

    Platform::FollowerObserver make_observer(
        std::function<void(Platform::TableUpdate const&)> on_fetched, std::function<void(u64)> on_missed)
    {
        Platform::FollowerObserver observer;
        observer.listed = [this](std::vector<Platform::Row> const& rows, u64) {
            for (auto const& row : rows)
                this->apply(row);
        };
        observer.changed = [this](std::vector<Platform::RowChange> const& changes, u64) {
            for (auto const& change : changes) {
                if (!change.removed)
                    this->apply(change.row);
            }
        };
        observer.fetched = std::move(on_fetched);
        observer.missed = std::move(on_missed);
        // The follower of the configuration reports the state of the platform.
        observer.unavailable = [](Error const&) {};
        observer.available = [] {};
        observer.may_retry = [this] { return !this->context.reachability.is_platform_unavailable(); };
        return observer;
    }

    void apply(Platform::Row const& row)
    {
        if (auto const record = decode_rollout_record(row.value))
            this->context.rollouts.apply_record(ServiceName(row.key), *record, row.version, this->context.now());
    }

    void update_following()
    {
        bool const reads = this->context.rollouts.has_unfinished()
            && this->context.reachability.reads_platform(this->peers.address(), this->context.now());
        this->record_follower.set_following(reads ? Platform::Following::Prompt : Platform::Following::None);
    }

    void log_record(Rollout::KnownRollout const& rollout)
    {
        auto const& record = *rollout.record;
        bool const is_rolled_back = record.stage == Rollout::Stage::RolledBack;
        auto const event = is_rolled_back ? Core::EventNumber::RolloutRolledBack : Core::EventNumber::RolloutAdvanced;
        this->context.log.event(event, rollout.order.service.value())
            .with("target", record.target)
            .with("stage", to_string(record.stage))
            .with("share", target_share(record.stage, this->context.rollouts.exposure_limits()))
            .with("elapsed_ms", record.elapsed)
            .with("row_version", rollout.record_version)
            .with("reason", record.reason.empty() ? "none" : record.reason);
    }

    [[nodiscard]] Rollout::Tally own_tally(Rollout::KnownRollout const& rollout) const
    {
        u64 in_progress = 0;
        for (auto const& backend : this->context.backends.of_service(rollout.order.service)) {
            if (backend->rollout_side == Rollout::Side::Former)
                in_progress += backend->in_flight + backend->engine.own_generations;
        }
        return { rollout.order.row_version, rollout.record ? rollout.record_version : 0, in_progress,
            rollout.own_answers };
    }

    void report()
    {
        auto const now = this->context.now();
        auto const& own = this->peers.address();
        auto const first = this->context.reachability.first_representative(own, now);
        bool const owns = this->context.reachability.is_leading_reader(own, now);
        if (!owns)
            this->owner.release();
        for (auto const& [service, rollout] : this->context.rollouts.all()) {
            if (rollout.is_final())
                continue;
            auto const tally = this->own_tally(rollout);
            if (first != own)
                this->peers.send_tally(std::span(&first, 1), encode_tally(service, tally));
            else
                this->report_domain(service, rollout, tally);
            if (owns)
                this->consider(service, rollout);
        }
    }

    /// Sends the sum of this domain's hosts to the other domains.
    void report_domain(ServiceName const& service, Rollout::KnownRollout const& rollout, Rollout::Tally const& own)
    {
        auto& of_service = this->tallies[service];
        of_service.apply(own_source, own, this->context.now());
        auto const sum
            = of_service.sum_of(rollout.order.row_version, this->local_sources(), is_local_source, this->context.now());
        auto message = encode_tally(service, sum);
        message.set_failure_domain(this->context.settings.failure_domain.value());
        this->peers.send_tally(this->peers.remote_receivers(), std::move(message));
    }

    [[nodiscard]] std::vector<std::string> local_sources() const
    {
        std::vector<std::string> sources { own_source };
        for (auto const& address : this->peers.reachable_local_addresses())
            sources.push_back(address.value());
        return sources;
    }

    void consider(ServiceName const& service, Rollout::KnownRollout const& rollout)
    {
        auto const now = this->context.now();
        auto sources = this->local_sources();
        for (auto const& domain : this->context.reachability.reachable_domains(now))
            sources.push_back(domain_source(domain));
        auto& of_service = this->tallies[service];
        of_service.apply(own_source, this->own_tally(rollout), now);
        auto sum = of_service.sum(rollout.order.row_version, sources, now);
        Rollout::Situation situation;
        situation.is_applied = rollout.record && sum.applied_record >= rollout.record_version;
        situation.answers = std::move(sum.answers);
        situation.former_in_progress = sum.former_in_progress;
        situation.has_silent_hosts = of_service.has_silent_sources(now);
        situation.target_serves
            = std::ranges::any_of(this->context.backends.of_service(service), [now](auto const& backend) {
                  return backend->rollout_side == Rollout::Side::Target && backend->takes_work_at(now);
              });
        this->owner.consider(service, std::move(situation));
    }

    ServingContext& context;
    PeerLink& peers;
    typename P::Store read_store;
    typename P::Store write_store;
    Follower record_follower;
    Rollout::Owner<typename P::Store> owner;
    std::unordered_map<ServiceName, Rollout::Tallies> tallies;
    Instant next_report_at {};
    bool is_following { false };
};

}
