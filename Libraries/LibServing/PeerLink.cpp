/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Contact.h>
#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Overload/Returns.h>
#include <LibServing/Overload/ServerPace.h>
#include <LibServing/Overload/ShortageMessages.h>
#include <LibServing/PeerLink.h>
#include <LibServing/RateLimit.h>
#include <LibServing/Refusal.h>
#include <LibServing/Relays.h>
#include <LibServing/RequestTerminations.h>
#include <LibServing/Suspicion.h>
#include <algorithm>

namespace Serving {

/// Changes within this time are sent in one message. Local hosts know of a placement after this time and the network
/// delay.
static constexpr Duration delta_delay = 2ms;
/// Up to this many remote hosts, deltas are sent to other domains as quickly as within the domain. Each further host
/// adds to the delay, so that the number of messages that a host receives stays constant: 240 ms at 250 remote hosts,
/// four messages per second from each domain.
static constexpr i64 remote_hosts_without_delay = 12;
static constexpr Duration delta_delay_per_remote_host = 1ms;
/// A full state message of some hundred bytes is sent to each local host. This period limits all of them together to
/// about 1.5 KB/s in each direction.
static constexpr Duration period_per_peer = 60ms;
static constexpr Duration min_period = 300ms;
static constexpr Duration max_period = 1s;
/// Number of hosts of a large domain that send to all others and receive from all others in every period.
static constexpr size_t frequent_hosts = 8;
static constexpr u32 loss_announcements = 3;
/// Period of the full state messages that a domain's first representative sends to other domains. The second
/// representative's period is twice as long. A domain counts as silent after one second without messages.
static constexpr Duration digest_period = 500ms;
/// Silent hosts are probed once in this many rounds, in case they come back.
static constexpr u32 rounds_between_probes = 4;

/// Number of hosts to which one host sends an update of the platform or a message of another domain. Each of them
/// forwards it to its share of the remaining hosts. Two steps cover a domain of 72 hosts, and no host's link carries
/// more copies than this.
static constexpr size_t relay_fan_out = 8;
/// Upper bound of unreachable servers that a host announces per second. A host that avoids many backend servers at once
/// is most likely partitioned itself, or its own link is overloaded.
static constexpr u32 max_unreachable_announced = 8;
/// Number of hosts of this domain, and of other domains, that are asked at a time for contact to a service.
static constexpr std::ptrdiff_t contact_queries_per_group = 4;

static std::vector<Address> addresses_of(google::protobuf::RepeatedPtrField<std::string> const& texts)
{
    std::vector<Address> addresses;
    for (auto const& text : texts)
        addresses.emplace_back(text);
    return addresses;
}

/// Reports how long the platform has answered this host.
static void put_platform_contact(wire::HostUse& message, ServingContext const& context)
{
    if (auto const duration = context.platform_contact.own_duration(context.now()))
        message.set_platform_answered_milliseconds(static_cast<u64>(AK::to_milliseconds(*duration)) + 1);
}

/// Applies the report of a full state message.
static void apply_platform_contact(ServingContext& context, Address const& host, wire::HostUse const& message)
{
    std::optional<Duration> duration;
    if (message.platform_answered_milliseconds() > 0)
        duration = std::chrono::milliseconds(message.platform_answered_milliseconds() - 1);
    context.platform_contact.record_report(host, FailureDomainId(message.failure_domain()), duration, context.now());
}

PeerLink::PeerLink(ServingContext& context, Observer observer)
    : context(context)
    , observer(std::move(observer))
    , transport(context.loop, context.metrics, context.settings.host, context.settings.peer_listen)
    , full_state_timer(context.loop)
    , digest_timer(context.loop)
    , delta_timer(context.loop)
    , domain_delta_timer(context.loop)
{
    this->transport.announce_as(context.settings.peer_address);
    this->context.use_changed = [this] { this->schedule_delta(); };
    this->context.backend_unreachable
        = [this](Backend const& backend, Duration avoided) { this->announce_unreachable(backend, avoided); };
    this->context.doubt_changed = [this] { this->announce_doubts(); };
    this->context.backend_refuses = [this](Backend const& backend) { this->announce_refusals(backend); };
    this->context.limit_changed = [this](Backend const& backend) { this->announce_limit(backend); };
    this->context.paces_changed = [this] { this->schedule_delta(); };
    this->context.shortage_began = [this](ServiceName const&) { this->announce_shortage(); };
    this->context.quarantine_changed
        = [this](std::span<RequestFingerprint const> requests) { this->announce_request_terminations(requests); };
    this->transport.on_message([this](wire::Envelope const& envelope) { this->handle_message(envelope); });
}

void PeerLink::start()
{
    this->schedule_full_state();
    this->schedule_digest();
}

void PeerLink::update_known_hosts(std::vector<KnownHost> hosts, bool is_complete)
{
    std::erase_if(hosts, [this](KnownHost const& host) { return host.address == this->address(); });
    this->context.reachability.update_known_hosts(hosts, this->context.now(), is_complete);
    for (auto const& host : hosts) {
        if (host.domain == this->context.settings.failure_domain && this->peers.insert(host.address).second)
            this->send_full_state(host.address, true);
    }
}

void PeerLink::announce_leaving(Backend const& backend)
{
    wire::HostUse message;
    auto& leaving = *message.add_leaving();
    leaving.set_backend(backend.server.id.value());
    leaving.set_start(backend.server.start.value());
    leaving.set_ends_in_milliseconds(
        backend.ends_at ? AK::to_milliseconds(*backend.ends_at - this->context.now()) : -1);
    this->broadcast(message);
    this->send_to_remote_domains(std::move(message));
}

void PeerLink::announce_refusals(Backend const& backend)
{
    wire::HostUse message;
    auto& refusing = *message.add_refusing();
    refusing.set_backend(backend.server.id.value());
    refusing.set_start(backend.server.start.value());
    refusing.set_refusals(backend.health.consecutive_refusals);
    this->broadcast(message);
    this->send_to_remote_domains(std::move(message));
}

void PeerLink::announce_termination(BackendServer const& server)
{
    wire::HostUse message;
    auto& ended = *message.add_ended();
    ended.set_backend(server.id.value());
    ended.set_start(server.start.value());
    ended.set_address(server.address.value());
    this->broadcast(message);
    this->send_to_remote_domains(std::move(message));
}

void PeerLink::announce_limit(Backend const& backend)
{
    wire::HostUse message;
    put_rate_limit(message, this->context, backend);
    this->broadcast(message);
    this->send_to_remote_domains(std::move(message));
}

void PeerLink::announce_request_terminations(std::span<RequestFingerprint const> requests)
{
    wire::HostUse message;
    for (auto const& request : requests)
        put_request_termination(message, this->context, request);
    this->broadcast(message);
    this->send_to_remote_domains(std::move(message));
}

/// Reports to a host that suspects a prompt part that this host has recently cleared it.
void PeerLink::handle_request_terminations(Address const& announcer, wire::HostUse const& received)
{
    wire::HostUse reply;
    for (auto const& part : apply_request_terminations(this->context, received)) {
        if (this->reported_clearances.is_due(announcer.value() + to_text(part), this->context.now()))
            put_clearance_reply(reply, part);
    }
    if (reply.ending_size() > 0)
        this->send(std::span(&announcer, 1), std::move(reply));
}

void PeerLink::query_contact()
{
    wire::Envelope envelope;
    *envelope.mutable_contact_query() = contact_query(this->context);
    this->transport.send(this->contact_query_receivers(), std::move(envelope));
}

/// A few hosts of this domain and a few of the other reachable domains, drawn at random.
std::vector<Address> PeerLink::contact_query_receivers()
{
    auto const now = this->context.now();
    auto const domains = this->context.reachability.reachable_domains(now);
    auto local = this->reachable_local_addresses();
    std::vector<Address> remote;
    for (auto const& host : this->context.reachability.known_hosts(now)) {
        if (std::ranges::find(domains, host.domain) != domains.end())
            remote.push_back(host.address);
    }
    std::vector<Address> receivers;
    for (auto const& candidates : { &local, &remote })
        std::ranges::sample(
            *candidates, std::back_inserter(receivers), contact_queries_per_group, this->context.random);
    return receivers;
}

void PeerLink::handle_contact_query(Address const& sender, wire::ContactQuery const& query)
{
    wire::Envelope envelope;
    *envelope.mutable_contact_report() = contact_report(this->context, query);
    if (envelope.contact_report().services_size() > 0)
        this->transport.send(sender, std::move(envelope));
}

void PeerLink::announce_shortage()
{
    wire::HostUse message;
    put_shortages(message, this->context, Overload::SignScope::Host);
    this->broadcast(message);
    message.clear_shortages();
    put_shortages(message, this->context, Overload::SignScope::Domain);
    this->send_to_remote_domains(std::move(message));
}

void PeerLink::announce_unreachable(Backend const& backend, Duration avoided)
{
    auto now = this->context.now();
    if (now - this->unreachable_window_start >= 1s) {
        this->unreachable_window_start = now;
        this->unreachable_announced = 0;
    }
    if (++this->unreachable_announced > max_unreachable_announced || this->context.reachability.is_partitioned(now))
        return;
    wire::HostUse message;
    auto& unreachable = *message.add_unreachable();
    unreachable.set_backend(backend.server.id.value());
    unreachable.set_start(backend.server.start.value());
    unreachable.set_avoided_milliseconds(static_cast<u32>(AK::to_milliseconds(avoided)));
    this->broadcast(message);
}

void PeerLink::announce_doubts()
{
    wire::HostUse message;
    put_doubts(message, this->context.domain_doubt.own_reports(this->context.now()));
    if (message.doubtful_domains_size() > 0)
        this->broadcast(message);
    this->announce_domain_doubts();
}

void PeerLink::announce_domain_doubts()
{
    if (this->own_representative_rank() > 0)
        return;
    wire::HostUse message;
    put_doubts(message, this->context.domain_doubt.domain_reports(this->context.now()));
    if (message.doubtful_domains_size() > 0)
        this->send_to_remote_domains(std::move(message));
}

std::vector<Address> PeerLink::reachable_local_addresses() const
{
    auto now = this->context.now();
    std::vector<Address> reachable;
    for (auto const& address : this->peers) {
        if (this->context.reachability.is_reachable(address, now))
            reachable.push_back(address);
    }
    return reachable;
}

template<typename Message>
void PeerLink::send_through_relays(Message message, std::vector<Address> const& receivers)
{
    for (auto const& group : split_for_relays(receivers, relay_fan_out)) {
        message.clear_relay_to();
        for (size_t i = 1; i < group.size(); ++i)
            message.add_relay_to(group[i].value());
        this->send(std::span(&group.front(), 1), message);
    }
}

void PeerLink::announce_update(wire::PlatformNews update)
{
    update.set_failure_domain(this->context.settings.failure_domain.value());
    this->send_through_relays(update, this->reachable_local_addresses());
    this->send(this->context.reachability.remote_receivers(++this->remote_messages_sent, this->context.now()),
        std::move(update));
}

void PeerLink::send_snapshot_request(Address const& holder, wire::SnapshotRequest request)
{
    wire::Envelope envelope;
    *envelope.mutable_snapshot_request() = std::move(request);
    this->transport.send(holder, std::move(envelope));
}

void PeerLink::send_snapshot_chunk(Address const& receiver, wire::SnapshotChunk chunk)
{
    wire::Envelope envelope;
    *envelope.mutable_snapshot_chunk() = std::move(chunk);
    this->transport.send(receiver, std::move(envelope));
}

void PeerLink::send_tally(std::span<Address const> receivers, wire::RolloutTally tally)
{
    wire::Envelope envelope;
    *envelope.mutable_rollout_tally() = std::move(tally);
    this->transport.send(receivers, std::move(envelope));
}

std::vector<Address> PeerLink::remote_receivers()
{
    return this->context.reachability.remote_receivers(++this->remote_messages_sent, this->context.now());
}

void PeerLink::fetch_updates(Address const& host, std::string const& table, u64 version)
{
    wire::Envelope envelope;
    envelope.mutable_news_fetch()->set_table(table);
    envelope.mutable_news_fetch()->set_after(version);
    this->transport.send(host, std::move(envelope));
}

void PeerLink::handle_fetch(Address const& peer, wire::NewsFetch const& fetch)
{
    for (auto& update : this->observer.updates_since(fetch.table(), fetch.after())) {
        update.set_failure_domain(this->context.settings.failure_domain.value());
        this->send(std::span(&peer, 1), std::move(update));
    }
}

void PeerLink::relay(wire::PlatformNews const& update, bool is_local_sender)
{
    auto own = update;
    own.set_failure_domain(this->context.settings.failure_domain.value());
    this->send_through_relays(
        std::move(own), is_local_sender ? addresses_of(update.relay_to()) : this->reachable_local_addresses());
}

Duration PeerLink::period() const
{
    auto proportional = static_cast<i64>(this->peers.size()) * period_per_peer;
    return std::clamp<Duration>(proportional, min_period, max_period);
}

Duration PeerLink::domain_delta_delay() const
{
    auto further_hosts = std::max<i64>(
        0, static_cast<i64>(this->context.reachability.remote_host_count()) - remote_hosts_without_delay);
    return delta_delay + further_hosts * delta_delay_per_remote_host;
}

size_t PeerLink::own_representative_rank() const
{
    return this->context.reachability.representatives_before(this->address(), this->context.now());
}

void PeerLink::schedule_full_state()
{
    this->full_state_timer.expires_after(this->period());
    this->full_state_timer.async_wait(this->guard.wrap([this](boost::system::error_code error) {
        if (error)
            return;
        for (auto const& name : this->peer_use.forget_silent(this->context.backends, this->context.now()))
            this->context.log.event(Core::EventNumber::MemberLost, name.value());
        this->broadcast_full_state();
        this->announce_lost_hosts();
        if (++this->rounds % rounds_between_probes == 0)
            this->probe_silent_peers();
        this->schedule_full_state();
    }));
}

void PeerLink::schedule_digest()
{
    this->context.remote_estimate_age = this->domain_delta_delay();
    auto const rank = std::min(this->own_representative_rank(), Reachability::representatives_per_domain - 1);
    auto const period = static_cast<i64>(1 + rank) * digest_period;
    this->digest_timer.expires_after(period);
    this->digest_timer.async_wait(this->guard.wrap([this, period](boost::system::error_code error) {
        if (error)
            return;
        drop_removed_server_paces(this->context);
        if (this->own_representative_rank() < Reachability::representatives_per_domain) {
            auto message = this->domain_use.full_state(this->context.backends);
            this->complete_full_state(message, period);
            put_recent_rate_limits(message, this->context, LimitScope::All);
            put_recent_server_paces(message, this->context, Overload::PaceScope::Domain);
            put_doubts(message, this->context.domain_doubt.domain_reports(this->context.now()));
            put_shortages(message, this->context, Overload::SignScope::Domain);
            put_organisation_use(message, this->context, Overload::SignScope::Domain);
            this->send_to_remote_domains(std::move(message));
        }
        this->schedule_digest();
    }));
}

void PeerLink::probe_silent_peers()
{
    auto now = this->context.now();
    for (auto const& address : this->peers) {
        if (!this->context.reachability.is_reachable(address, now))
            this->send_full_state(address, true);
    }
}

static bool has_changes(wire::HostUse const& delta) { return delta.engines_size() > 0 || delta.paces_size() > 0; }

void PeerLink::schedule_delta()
{
    this->schedule_domain_delta();
    if (std::exchange(this->delta_pending, true))
        return;
    this->delta_timer.expires_after(delta_delay);
    this->delta_timer.async_wait(this->guard.wrap([this](boost::system::error_code error) {
        this->delta_pending = false;
        if (error)
            return;
        auto delta = this->own_use.delta(this->context.backends).value_or(wire::HostUse());
        put_unsent_server_paces(delta, this->context, Overload::PaceScope::Host);
        bool const has_returns = put_changed_returns(delta, this->context);
        if (!has_changes(delta) && !has_returns)
            return;
        put_shortages(delta, this->context, Overload::SignScope::Host);
        this->broadcast(delta);
    }));
}

/// Only the first representative sends deltas. The full state messages of the second one are sufficient until it takes
/// over.
void PeerLink::schedule_domain_delta()
{
    if (std::exchange(this->domain_delta_pending, true))
        return;
    this->domain_delta_timer.expires_after(this->domain_delta_delay());
    this->domain_delta_timer.async_wait(this->guard.wrap([this](boost::system::error_code error) {
        this->domain_delta_pending = false;
        if (error || this->own_representative_rank() > 0)
            return;
        auto delta = this->domain_use.delta(this->context.backends).value_or(wire::HostUse());
        put_unsent_server_paces(delta, this->context, Overload::PaceScope::Domain);
        if (!has_changes(delta))
            return;
        put_shortages(delta, this->context, Overload::SignScope::Domain);
        this->send_to_remote_domains(std::move(delta));
    }));
}

void PeerLink::complete_full_state(wire::HostUse& message, Duration period)
{
    auto const own = this->context.reachability.own_status(period, this->context.now());
    message.set_failure_domain(own.domain.value());
    message.set_period_milliseconds(static_cast<u32>(AK::to_milliseconds(own.period)));
    message.set_platform_is_lost(own.platform_unavailable);
    put_platform_contact(message, this->context);
    message.set_hosts_of_domain(own.hosts_of_domain);
    message.set_strength(own.strength);
    put_recent_request_terminations(message, this->context, this->rounds);
    for (auto const& [table, last_change] : this->observer.own_progress()) {
        auto& progress = *message.add_tables();
        progress.set_table(table);
        progress.set_last_change(last_change);
    }
}

/// In a large domain, most hosts send their full state frequently only to the hosts that come first as representatives,
/// which notice when one falls silent and announce it. The others get it in turn, so that the number of messages that a
/// host sends does not grow with its domain. Deltas go to all.
void PeerLink::broadcast_full_state()
{
    auto const now = this->context.now();
    auto const reachable = this->reachable_local_addresses();
    bool const is_large = this->background_period() > this->period();
    bool const is_frequent = this->own_representative_rank() < frequent_hosts;
    // The other hosts of a large domain reach few hosts soon enough to repeat a lost announcement of a limit.
    auto const limit_scope = is_large && is_frequent ? LimitScope::All : LimitScope::Own;
    auto const state = this->own_use.full_state(this->context.backends);
    auto send_to = [&](std::vector<Address> const& receivers, Duration next_in) {
        auto message = state;
        this->complete_full_state(message, next_in);
        put_recent_rate_limits(message, this->context, limit_scope);
        put_recent_server_paces(message, this->context, Overload::PaceScope::Host);
        put_doubts(message, this->context.domain_doubt.own_reports(now));
        put_shortages(message, this->context, Overload::SignScope::Host);
        put_organisation_use(message, this->context, Overload::SignScope::Host);
        this->send(receivers, std::move(message));
    };
    if (!is_large || is_frequent)
        return send_to(reachable, this->period());
    auto const first = this->context.reachability.first_local_hosts(frequent_hosts, now);
    send_to(first, this->period());
    auto others = this->next_background_receivers(reachable);
    std::erase_if(others, [&](Address const& host) { return std::ranges::find(first, host) != first.end(); });
    send_to(others, this->background_period());
}

Duration PeerLink::background_period() const
{
    return std::max<Duration>(this->period(), static_cast<i64>(this->peers.size()) * period_per_peer);
}

Duration PeerLink::next_full_state_in(Address const& peer) const
{
    if (this->own_representative_rank() < frequent_hosts)
        return this->period();
    auto const first = this->context.reachability.first_local_hosts(frequent_hosts, this->context.now());
    bool const is_first = std::ranges::find(first, peer) != first.end();
    return is_first ? this->period() : this->background_period();
}

/// The next of the reachable hosts in turn, so many that each gets a message in every background period.
std::vector<Address> PeerLink::next_background_receivers(std::vector<Address> const& reachable)
{
    auto const rounds_per_turn = std::max<i64>(1, this->background_period() / this->period());
    auto const count
        = (reachable.size() + static_cast<size_t>(rounds_per_turn) - 1) / static_cast<size_t>(rounds_per_turn);
    auto next = std::ranges::upper_bound(reachable, this->last_background_receiver);
    std::vector<Address> receivers;
    while (receivers.size() < count) {
        if (next == reachable.end())
            next = reachable.begin();
        receivers.push_back(*next++);
    }
    if (!receivers.empty())
        this->last_background_receiver = receivers.back();
    return receivers;
}

/// Announces the hosts that have fallen silent, three times each. A host that has lost most others at once is itself
/// partitioned or was suspended, and announces nothing.
void PeerLink::announce_lost_hosts()
{
    auto const reachable = this->reachable_local_addresses();
    std::set<Address> const reachable_now(reachable.begin(), reachable.end());
    auto const before = std::exchange(this->reachable_before, reachable_now);
    if (this->background_period() <= this->period() || this->own_representative_rank() > 0)
        return this->lost_hosts.clear();
    std::vector<Address> newly_lost;
    std::ranges::set_difference(before, reachable_now, std::back_inserter(newly_lost));
    if (2 * newly_lost.size() > before.size())
        return;
    for (auto const& host : newly_lost)
        this->lost_hosts[host] = loss_announcements;
    std::erase_if(
        this->lost_hosts, [&](auto const& lost) { return lost.second == 0 || reachable_now.contains(lost.first); });
    if (this->lost_hosts.empty())
        return;
    wire::HostUse message;
    for (auto& [host, left] : this->lost_hosts) {
        message.add_lost_hosts(host.value());
        --left;
    }
    this->broadcast(message);
}

void PeerLink::handle_lost_hosts(wire::HostUse const& message)
{
    for (auto const& text : message.lost_hosts()) {
        Address const host(text);
        if (!this->context.reachability.record_loss(host, this->context.now()))
            continue;
        auto const name = this->names.find(host);
        if (name == this->names.end())
            continue;
        this->peer_use.forget(name->second, this->context.backends);
        this->context.log.event(Core::EventNumber::MemberLost, name->second.value());
    }
}

void PeerLink::broadcast(wire::HostUse const& message) { this->send(this->reachable_local_addresses(), message); }

void PeerLink::send_to_remote_domains(wire::HostUse message)
{
    message.set_failure_domain(this->context.settings.failure_domain.value());
    message.set_domain_speaker(this->address().value());
    this->send(this->context.reachability.remote_receivers(++this->remote_messages_sent, this->context.now()),
        std::move(message));
}

void PeerLink::send_full_state(Address const& peer, bool wants_answer)
{
    auto message = OwnUse(UseScope::Host).full_state(this->context.backends);
    this->complete_full_state(message, this->next_full_state_in(peer));
    message.set_wants_answer(wants_answer);
    message.clear_ending();
    put_all_request_terminations(message, this->context);
    put_recent_rate_limits(message, this->context, LimitScope::All);
    put_all_server_paces(message, this->context);
    put_doubts(message, this->context.domain_doubt.own_reports(this->context.now()));
    put_shortages(message, this->context, Overload::SignScope::Host);
    this->send(std::span(&peer, 1), std::move(message));
}

void PeerLink::send(std::span<Address const> peers, wire::HostUse message)
{
    wire::Envelope envelope;
    *envelope.mutable_host_use() = std::move(message);
    this->transport.send(peers, std::move(envelope));
}

void PeerLink::send(std::span<Address const> peers, wire::PlatformNews message)
{
    wire::Envelope envelope;
    *envelope.mutable_platform_news() = std::move(message);
    this->transport.send(peers, std::move(envelope));
}

void PeerLink::handle_message(wire::Envelope const& envelope)
{
    Address const sender(envelope.sender_address());
    if (envelope.has_host_use()) {
        auto const& message = envelope.host_use();
        if (message.domain_speaker().empty())
            return this->handle_host_message(sender, envelope.sender(), message);
        return this->handle_domain_message(sender, message);
    }
    if (envelope.has_news_fetch())
        return this->handle_fetch(sender, envelope.news_fetch());
    if (envelope.has_snapshot_request())
        return this->observer.snapshot_requested(envelope.snapshot_request(), sender);
    if (envelope.has_snapshot_chunk())
        return this->observer.snapshot_received(envelope.snapshot_chunk(), sender);
    if (envelope.has_contact_query())
        return this->handle_contact_query(sender, envelope.contact_query());
    if (envelope.has_contact_report())
        return apply_contact_report(this->context, sender, envelope.contact_report());
    if (envelope.has_rollout_tally())
        return this->observer.tally_received(envelope.rollout_tally(), sender);
    if (!envelope.has_platform_news())
        return;
    auto const& update = envelope.platform_news();
    this->context.reachability.record_message(sender, this->context.now());
    this->observer.update_received(
        update, FailureDomainId(update.failure_domain()) == this->context.settings.failure_domain);
}

/// The status of the sender of a full state message.
static Reachability::HostStatus status_in(wire::HostUse const& message)
{
    return { FailureDomainId(message.failure_domain()), std::chrono::milliseconds(message.period_milliseconds()),
        message.platform_is_lost(), message.hosts_of_domain(), message.strength() };
}

void PeerLink::apply_demand(MemberId const& host, wire::HostUse const& message)
{
    apply_returns(this->context, host, message);
    apply_shortages(this->context, host, Overload::SignScope::Host, message);
}

void PeerLink::handle_host_message(Address const& sender, std::string const& name, wire::HostUse const& message)
{
    auto now = this->context.now();
    this->names.insert_or_assign(sender, MemberId(name));
    if (!this->context.reachability.is_reachable(sender, now))
        this->context.log.event(Core::EventNumber::MemberJoined, name).with("address", sender);
    if (message.is_whole()) {
        auto const status = status_in(message);
        this->context.reachability.record_message(sender, status, now);
        apply_platform_contact(this->context, sender, message);
        if (status.domain == this->context.settings.failure_domain)
            this->peers.insert(sender);
    } else {
        this->context.reachability.record_message(sender, now);
    }
    this->peer_use.apply(MemberId(name), message, this->context.backends, now);
    if (has_changes(message))
        this->schedule_domain_delta();
    apply_suspicions(this->context, MemberId(name), message);
    bool const is_local = this->context.reachability.is_local(sender);
    if (is_local && apply_doubts(this->context, MemberId(name), Overload::DoubtReporter::LocalHost, message))
        this->announce_domain_doubts();
    if (is_local)
        this->apply_demand(MemberId(name), message);
    this->handle_lost_hosts(message);
    this->handle_leaving_list(message);
    this->handle_terminated_list(message);
    apply_refusals(this->context, message);
    this->handle_request_terminations(sender, message);
    apply_rate_limits(this->context, message);
    apply_server_paces(this->context, message);
    this->handle_progress(sender, message);
    if (message.wants_answer())
        this->send_full_state(sender, false);
}

void PeerLink::handle_domain_message(Address const& sender, wire::HostUse const& message)
{
    FailureDomainId const domain(message.failure_domain());
    if (domain == this->context.settings.failure_domain)
        return;
    auto now = this->context.now();
    Address const representative(message.domain_speaker());
    if (message.is_whole()) {
        this->context.reachability.record_message(representative, status_in(message), now);
        apply_platform_contact(this->context, representative, message);
    } else {
        this->context.reachability.record_message(representative, now);
    }
    // A message received from the representative itself is for all hosts of this domain.
    bool const is_relayed = sender != representative;
    if (is_relayed)
        this->context.reachability.record_message(sender, now);
    this->send_through_relays(
        message, is_relayed ? addresses_of(message.relay_to()) : this->reachable_local_addresses());
    this->peer_use.apply(MemberId(domain.value()), message, this->context.backends, now);
    apply_doubts(this->context, MemberId(domain.value()), Overload::DoubtReporter::Domain, message);
    this->handle_leaving_list(message);
    this->handle_terminated_list(message);
    apply_refusals(this->context, message);
    this->handle_request_terminations(representative, message);
    apply_rate_limits(this->context, message);
    apply_server_paces(this->context, message);
    apply_shortages(this->context, MemberId(domain.value()), Overload::SignScope::Domain, message);
    this->handle_progress(sender, message);
}

void PeerLink::handle_progress(Address const& sender, wire::HostUse const& message)
{
    for (auto const& progress : message.tables())
        this->observer.progress_received(progress.table(), progress.last_change(), sender);
}

void PeerLink::handle_terminated_list(wire::HostUse const& message)
{
    for (auto const& ended : message.ended())
        this->observer.backend_terminated(
            EngineId(ended.backend()), ServerStart(ended.start()), Address(ended.address()));
}

void PeerLink::handle_leaving_list(wire::HostUse const& message)
{
    for (auto const& leaving : message.leaving()) {
        std::optional<Instant> ends_at;
        if (leaving.ends_in_milliseconds() >= 0)
            ends_at = this->context.now() + std::chrono::milliseconds(leaving.ends_in_milliseconds());
        this->observer.backend_leaves(EngineId(leaving.backend()), ServerStart(leaving.start()), ends_at);
    }
}

}
