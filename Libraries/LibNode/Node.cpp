/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibNode/Node.h>
#include <LibPlatform/PlatformJson.h>
#include <algorithm>

namespace Node {

using Core::EventNumber;

// Members other than the poller poll the platform at this multiple of the poll periods.
static constexpr int follower_poll_factor = 10;
// The owner of this key polls the platform for the failure domain and broadcasts updates.
static constexpr auto reader_key = "platform-reader";
static constexpr size_t gossip_fanout = 2;
// Views are sent in full for some heartbeats after members were added or removed, and in any case once per period,
// which is counted in heartbeats, too.
static constexpr u64 full_gossip_heartbeats_after_change = 4;
static constexpr u64 full_gossip_period = 16;
static constexpr u64 heartbeats_per_remote_digest = 5;
static constexpr Duration leaving_server_retention = 60s;
static constexpr Duration staleness_limit = 30s;
static constexpr Duration loop_stuck_timeout = 5s;
static constexpr size_t background_threads = 4;
static constexpr size_t max_event_batch = 2000;

static Instant now() { return AK::BootClock::now(); }

static i64 now_milliseconds() { return AK::to_milliseconds(now().time_since_epoch()); }

template<typename T>
static Result<void> without_value(Result<T> const& result)
{
    return result ? Result<void>(success()) : Result<void>(result.error());
}

static Membership::MemberRow own_row(NodeSettings const& settings)
{
    Membership::MemberRow row;
    row.id = settings.member;
    row.role = settings.role;
    row.address = settings.peer_listen;
    // A later start normally has a later wall clock. If the clock went back, the gossip of peers shows the higher
    // number, and the member table raises this one above it.
    row.incarnation = Incarnation(Core::SystemClock().wall_milliseconds());
    return row;
}

Node::Node(NodeSettings settings)
    : node_settings(std::move(settings))
    , event_log(this->node_settings.member)
    , platform_client(this->node_settings.platform, this->node_settings.platform_timeout)
    , peer_transport(this->event_loop, this->event_log, this->metric_set, this->node_settings.peer_listen,
          this->node_settings.curve)
    , member_table(own_row(this->node_settings), this->node_settings.silence_limit)
    , random(std::random_device {}())
    , last_platform_contact(now())
    , last_heartbeat_milliseconds(now_milliseconds())
    , background_caller(this->event_loop, background_threads)
{
    this->peer_transport.on_message([this](wire::Envelope const& envelope) { this->receive(envelope); });
}

void Node::start()
{
    this->event_log.record(EventNumber::ProcessStarted, this->node_settings.member.value(),
        "in failure domain " + this->node_settings.failure_domain.value());
    this->event_loop.every(this->node_settings.heartbeat_period, [this] { this->run_heartbeat(); });
    this->event_loop.every(this->node_settings.configuration_poll_period, [this] { this->poll_configuration(); });
    this->event_loop.every(this->node_settings.backend_list_poll_period, [this] { this->poll_backend_servers(); });
    this->event_loop.after(0s, [this] {
        this->run_heartbeat();
        this->poll_configuration();
        this->poll_backend_servers();
    });
}

Membership::MemberRow const* Node::owner_of(std::string const& key, std::set<MemberId> const& except) const
{
    return this->member_table.owner_of(key, wire::ROLE_ROUTER, except);
}

bool Node::is_poller() const
{
    auto const* owner = this->owner_of(reader_key);
    return !owner || owner->id == this->node_settings.member;
}

// Membership

std::vector<Address> Node::gossip_targets()
{
    auto targets = this->member_table.sample_targets(gossip_fanout, this->random);
    // In each heartbeat, also try one configured peer that is not a known member: it may have started or returned.
    std::vector<Address> unknown;
    for (auto const& seed : this->node_settings.peers) {
        if (seed != this->node_settings.peer_listen && !this->member_table.knows_address(seed))
            unknown.push_back(seed);
    }
    if (!unknown.empty())
        targets.push_back(unknown[this->heartbeat_count % unknown.size()]);
    return targets;
}

void Node::send_gossip(Address const& peer, Membership::GossipDetail detail)
{
    wire::Envelope envelope;
    *envelope.mutable_gossip() = this->member_table.gossip(this->node_settings.failure_domain, detail);
    for (auto const& [id, since] : this->leaving_servers)
        envelope.mutable_gossip()->add_leaving_backend_servers(id.value());
    this->send(peer, std::move(envelope));
}

void Node::send_remote_digest()
{
    auto const& remote = this->node_settings.remote_peers;
    if (remote.empty() || !this->is_poller() || this->heartbeat_count % heartbeats_per_remote_digest != 0)
        return;
    wire::Envelope envelope;
    auto gossip = this->member_table.gossip(this->node_settings.failure_domain, Membership::GossipDetail::Compact);
    envelope.mutable_gossip()->set_failure_domain(this->node_settings.failure_domain.value());
    *envelope.mutable_gossip()->add_members() = gossip.members(0);
    this->send(remote[this->heartbeat_count / heartbeats_per_remote_digest % remote.size()], std::move(envelope));
}

void Node::update_router_known()
{
    this->router_known = this->node_settings.role != wire::ROLE_GATEWAY || this->owner_of(reader_key);
}

void Node::record_readiness()
{
    this->update_router_known();
    if (this->readiness_recorded || !this->is_ready())
        return;
    this->readiness_recorded = true;
    this->event_log.record(EventNumber::ProcessReady, this->node_settings.member.value(),
        "at revision " + std::to_string(this->follower.revision().value()));
}

void Node::run_heartbeat()
{
    this->record_readiness();
    this->last_heartbeat_milliseconds = now_milliseconds();
    ++this->heartbeat_count;
    this->report(this->member_table.advance_heartbeat(now()));
    std::erase_if(
        this->leaving_servers, [](auto const& entry) { return now() - entry.second > leaving_server_retention; });
    auto is_full
        = this->heartbeat_count <= this->full_gossip_until_heartbeat || this->heartbeat_count % full_gossip_period == 0;
    auto detail = is_full ? Membership::GossipDetail::Full : Membership::GossipDetail::Compact;
    for (auto const& target : this->gossip_targets())
        this->send_gossip(target, detail);
    this->send_remote_digest();
    this->metric_set.set("lilac_members", static_cast<double>(this->member_table.others().size() + 1));
    this->metric_set.set("lilac_configuration_revision", static_cast<double>(this->follower.revision().value()));
    this->metric_set.set("lilac_platform_silence_seconds", AK::to_seconds(this->since_platform_contact()));
}

void Node::report(std::vector<Membership::MemberEvent> const& events)
{
    for (auto const& event : events) {
        auto text = "incarnation " + std::to_string(event.incarnation.value());
        switch (event.change) {
        case Membership::MemberChange::Joined:
            this->event_log.record(EventNumber::MemberJoined, event.id.value(), text);
            break;
        case Membership::MemberChange::Replaced:
            this->event_log.record(EventNumber::MemberReplaced, event.id.value(), text);
            break;
        case Membership::MemberChange::Leaving:
            this->event_log.record(EventNumber::MemberLeaving, event.id.value(), text);
            break;
        case Membership::MemberChange::Lost:
            this->event_log.record(EventNumber::MemberLost, event.id.value(), text);
            break;
        }
    }
    if (events.empty())
        return;
    this->full_gossip_until_heartbeat = this->heartbeat_count + full_gossip_heartbeats_after_change;
    this->update_router_known();
    for (auto const& handler : this->member_handlers)
        handler();
}

void Node::receive(wire::Envelope const& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kGossip:
        this->receive_gossip(envelope);
        return;
    case wire::Envelope::kConfigurationFetch: {
        wire::Envelope response;
        *response.mutable_configuration_entries()
            = this->follower.entries_after(Revision(envelope.configuration_fetch().after_revision()));
        this->send(Address(envelope.sender_address()), std::move(response));
        return;
    }
    case wire::Envelope::kConfigurationEntries:
        this->receive_entries(envelope.configuration_entries());
        return;
    case wire::Envelope::kEventsFetch:
        this->receive_events_fetch(envelope);
        return;
    case wire::Envelope::kBackendServersFetch: {
        wire::Envelope response;
        response.mutable_backend_servers()->set_json(Platform::format_backend_servers(this->servers));
        this->send(Address(envelope.sender_address()), std::move(response));
        return;
    }
    case wire::Envelope::kBackendServers: {
        auto parsed = Platform::parse_backend_servers(envelope.backend_servers().json());
        auto const* reader = this->owner_of(reader_key);
        auto is_from_reader = reader && reader->id == MemberId(envelope.sender());
        // Another peer's list is used only until the first list arrives.
        if (parsed && (is_from_reader || this->servers.empty()))
            this->apply_backend_servers(std::move(parsed.value()));
        return;
    }
    default:
        if (this->message_handler)
            this->message_handler(envelope);
    }
}

void Node::receive_gossip(wire::Envelope const& envelope)
{
    auto const& gossip = envelope.gossip();
    Address sender(envelope.sender_address());
    auto is_local = gossip.failure_domain() == this->node_settings.failure_domain.value();
    if (is_local)
        this->report(this->member_table.receive(gossip, now()));
    u64 newest = 0;
    for (auto const& member : gossip.members())
        newest = std::max(newest, member.revision());
    if (newest > this->follower.revision().value())
        this->fetch_configuration_from(sender);
    else if (!is_local && newest < this->follower.revision().value()) {
        wire::Envelope response;
        *response.mutable_configuration_entries() = this->follower.entries_after(Revision(newest));
        this->send(sender, std::move(response));
    }
    if (is_local && this->servers.empty()) {
        wire::Envelope request;
        request.mutable_backend_servers_fetch();
        this->send(sender, std::move(request));
    }
    bool changed = false;
    for (auto const& id : gossip.leaving_backend_servers())
        changed |= this->leaving_servers.emplace(EngineId(id), now()).second;
    if (changed) {
        for (auto const& handler : this->backend_handlers)
            handler();
    }
}

void Node::receive_events_fetch(wire::Envelope const& envelope)
{
    auto const& fetch = envelope.events_fetch();
    wire::Envelope response;
    response.set_correlation(envelope.correlation());
    auto maximum = std::min<size_t>(fetch.maximum(), max_event_batch);
    auto* batch = response.mutable_event_batch();
    for (auto const& event : this->event_log.latest(maximum, fetch.subject())) {
        auto* record = batch->add_events();
        record->set_wall_milliseconds(event.stamp.wall_milliseconds);
        record->set_counter(event.stamp.counter);
        record->set_member(event.member.value());
        record->set_number(static_cast<u32>(event.number));
        record->set_text(event.text);
        record->set_subject(event.subject);
        record->set_organisation(event.organisation.value());
    }
    this->send(Address(envelope.sender_address()), std::move(response));
}

// Configuration

void Node::fetch_configuration_from(Address const& peer)
{
    wire::Envelope request;
    request.mutable_configuration_fetch()->set_after_revision(this->follower.revision().value());
    this->send(peer, std::move(request));
}

void Node::receive_entries(wire::ConfigurationEntries const& received)
{
    bool moved = false;
    if (received.has_snapshot())
        moved |= this->follower.apply(received.snapshot());
    std::vector<wire::LogEntry> entries(received.entries().begin(), received.entries().end());
    moved |= this->follower.apply(entries);
    if (moved)
        this->revision_moved();
}

void Node::revision_moved()
{
    auto revision = this->follower.revision();
    this->configuration_known = true;
    this->member_table.set_own_revision(revision);
    this->event_log.record(EventNumber::RevisionInForce, std::to_string(revision.value()), "in force here");
    for (auto const& handler : this->revision_handlers)
        handler();
}

void Node::broadcast_entries(std::vector<wire::LogEntry> const& entries)
{
    if (!this->follower.apply(entries))
        return;
    this->revision_moved();
    wire::Envelope update;
    for (auto const& entry : entries)
        *update.mutable_configuration_entries()->add_entries() = entry;
    for (auto const& member : this->member_table.others())
        this->send(member.address, update);
}

void Node::poll_configuration()
{
    auto period = this->node_settings.configuration_poll_period * (this->is_poller() ? 1 : follower_poll_factor);
    // Each call polls until a configuration is known. After a change of poller, the shorter period applies to the new
    // poller at once.
    auto is_due = this->last_configuration_poll == Instant() || now() - this->last_configuration_poll >= period
        || !this->configuration_known;
    if (this->configuration_poll_runs || !is_due)
        return;
    this->configuration_poll_runs = true;
    this->last_configuration_poll = now();
    this->background_caller.submit(
        [this, revision = this->follower.revision()] { return this->read_configuration_update(revision); },
        [this](Result<ConfigurationUpdate> const& update) { this->apply_configuration_update(update); });
}

/// Runs on a background thread and uses only the platform client.
Result<Node::ConfigurationUpdate> Node::read_configuration_update(Revision known)
{
    Configuration::ConfigurationLog log(this->platform_client);
    ConfigurationUpdate update;
    if (known == Revision(0)) {
        TRY(update.snapshot, log.read_snapshot());
        if (update.snapshot)
            known = Revision(update.snapshot->revision());
    }
    TRY(update.entries, log.read_after(known));
    return update;
}

void Node::apply_configuration_update(Result<ConfigurationUpdate> const& update)
{
    this->configuration_poll_runs = false;
    this->record_platform_result(without_value(update));
    if (!update)
        return;
    this->configuration_known = true;
    if (update.value().snapshot && this->follower.apply(*update.value().snapshot))
        this->revision_moved();
    if (!update.value().entries.empty())
        this->broadcast_entries(update.value().entries);
}

Duration Node::since_platform_contact() const { return now() - this->last_platform_contact; }

void Node::record_platform_result(Result<void> const& result)
{
    if (result) {
        this->last_platform_contact = now();
        if (!this->platform_is_available)
            this->event_log.record(EventNumber::PlatformAvailable, "platform", "responds again");
        this->platform_is_available = true;
        this->staleness_reported = false;
        return;
    }
    if (this->platform_is_available)
        this->event_log.record(EventNumber::PlatformUnavailable, "platform",
            "serving on revision " + std::to_string(this->follower.revision().value()) + ": " + result.error().message);
    this->platform_is_available = false;
    if (this->staleness_reported || this->since_platform_contact() < staleness_limit)
        return;
    this->staleness_reported = true;
    this->event_log.record(EventNumber::ConfigurationStale, std::to_string(this->follower.revision().value()),
        "the platform has not responded for " + std::to_string(staleness_limit / 1s) + " s; newer changes may exist");
}

// Backend servers

void Node::poll_backend_servers()
{
    auto period = this->node_settings.backend_list_poll_period * (this->is_poller() ? 1 : follower_poll_factor);
    auto is_due = this->servers.empty() || now() - this->last_backend_poll >= period;
    if (this->backend_poll_runs || !is_due)
        return;
    this->backend_poll_runs = true;
    this->last_backend_poll = now();
    this->background_caller.submit(
        [this] { return this->platform_client.list_backend_servers(this->node_settings.failure_domain); },
        [this](Result<std::vector<Platform::BackendServerRecord>> list) {
            this->backend_poll_runs = false;
            this->record_platform_result(without_value(list));
            if (!list || list.value() == this->servers)
                return;
            this->apply_backend_servers(std::move(list.value()));
            this->broadcast_backend_servers();
        });
}

void Node::broadcast_backend_servers()
{
    wire::Envelope update;
    update.mutable_backend_servers()->set_json(Platform::format_backend_servers(this->servers));
    for (auto const& member : this->member_table.others())
        this->send(member.address, update);
}

void Node::apply_backend_servers(std::vector<Platform::BackendServerRecord> list)
{
    if (list == this->servers)
        return;
    this->servers = std::move(list);
    for (auto const& handler : this->backend_handlers)
        handler();
}

bool Node::is_leaving(EngineId const& id) const
{
    if (this->leaving_servers.contains(id) || this->configuration().is_draining(id))
        return true;
    auto found = std::ranges::find(this->servers, id, &Platform::BackendServerRecord::id);
    return found != this->servers.end() && found->state == Platform::BackendServerState::Leaving;
}

void Node::backend_server_is_leaving(EngineId const& id)
{
    auto [entry, is_new] = this->leaving_servers.insert_or_assign(id, now());
    if (!is_new)
        return;
    this->event_log.record(EventNumber::EngineLeaving, id.value(), "takes no new work");
    this->broadcast_leaving_servers();
    for (auto const& handler : this->backend_handlers)
        handler();
}

void Node::broadcast_leaving_servers()
{
    for (auto const& member : this->member_table.others())
        this->send_gossip(member.address, Membership::GossipDetail::Full);
}

// Leaving and health

void Node::begin_leaving()
{
    if (this->leaving.exchange(true))
        return;
    this->event_log.record(EventNumber::ProcessLeaving, this->node_settings.member.value(), "planned stop");
    this->member_table.set_own_leaving();
    (void)this->member_table.advance_heartbeat(now());
    for (auto const& member : this->member_table.others())
        this->send_gossip(member.address, Membership::GossipDetail::Full);
}

std::string Node::readiness_reason() const
{
    if (this->leaving)
        return "leaving";
    if (!this->configuration_known)
        return "no configuration yet: neither the platform nor a peer has answered";
    if (!this->router_known)
        return "no router of this failure domain is known yet";
    return "ready";
}

bool Node::is_live() const
{
    return now_milliseconds() - this->last_heartbeat_milliseconds < AK::to_milliseconds(loop_stuck_timeout);
}

}
