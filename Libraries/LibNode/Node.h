/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibConfiguration/ConfigurationFollower.h>
#include <LibConfiguration/ConfigurationLog.h>
#include <LibCore/BackgroundCaller.h>
#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibMembership/MemberTable.h>
#include <LibNode/NodeSettings.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibWire/PeerTransport.h>
#include <atomic>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace Node {

/// What every daemon has: the loop, membership, the configuration in force, and the list of backend servers. The
/// daemon's own part takes the messages that are not for this one. Loop thread only, but for what is said otherwise.
class Node {
public:
    explicit Node(NodeSettings);

    /// Begins gossip and polling. Call once, before the loop runs.
    void start();

    /// Messages that the node itself does not handle.
    void on_message(std::function<void(wire::Envelope const&)> handler) { this->message_handler = std::move(handler); }
    /// Called after the configuration moved to a newer revision.
    void on_revision(std::function<void()> handler) { this->revision_handlers.push_back(std::move(handler)); }
    /// Called after members came, left or were lost.
    void on_members(std::function<void()> handler) { this->member_handlers.push_back(std::move(handler)); }
    /// Called after the list of backend servers or of leaving ones changed.
    void on_backend_servers(std::function<void()> handler) { this->backend_handlers.push_back(std::move(handler)); }

    void send(Address const& peer, wire::Envelope envelope) { this->peer_transport.send(peer, std::move(envelope)); }
    /// The router that owns `key` by this process's view, or would if those in `except` were gone. It may be this very
    /// process.
    [[nodiscard]] Membership::MemberRow const* owner_of(
        std::string const& key, std::set<MemberId> const& except = {}) const;

    [[nodiscard]] Configuration::Document const& configuration() const { return this->follower.document(); }
    /// Entries accepted by this process itself, and entries read from the table, go to every other member at once.
    void broadcast_entries(std::vector<wire::LogEntry> const& entries);
    [[nodiscard]] std::vector<Platform::BackendServerRecord> const& backend_servers() const { return this->servers; }
    /// Whether a backend server must get no new work: by the platform's list, by its own word, or by an operator.
    [[nodiscard]] bool is_leaving(EngineId const&) const;
    /// A backend server said itself that it is leaving. Told to every other member at once.
    void backend_server_is_leaving(EngineId const&);
    /// A backend server that was leaving says that it is not any more.
    void backend_server_is_back(EngineId const& id) { this->leaving_servers.erase(id); }

    /// Not ready to the balancer from now on. Members stop giving this one new work.
    void begin_leaving();
    [[nodiscard]] bool is_leaving_itself() const { return this->leaving; }
    /// Whether the daemon can serve: it knows some configuration, from the platform or from peers, and a gateway knows
    /// a router. Any thread.
    [[nodiscard]] bool is_ready() const { return this->configuration_known && this->router_known && !this->leaving; }
    /// Why not, for the readiness page. Any thread.
    [[nodiscard]] std::string readiness_reason() const;
    /// Whether the loop has turned lately. Any thread.
    [[nodiscard]] bool is_live() const;

    Core::EventLoop& loop() { return this->event_loop; }
    Core::EventLog& events() { return this->event_log; }
    Core::Metrics& metrics() { return this->metric_set; }
    Core::BackgroundCaller& background() { return this->background_caller; }
    Platform::HttpPlatform& platform() { return this->platform_client; }
    Membership::MemberTable& members() { return this->member_table; }
    [[nodiscard]] NodeSettings const& settings() const { return this->node_settings; }
    [[nodiscard]] Duration since_platform_contact() const;

private:
    void receive(wire::Envelope const&);
    void receive_gossip(wire::Envelope const&);
    void receive_entries(wire::ConfigurationEntries const&);
    void receive_events_fetch(wire::Envelope const&);
    void report(std::vector<Membership::MemberEvent> const&);
    void run_heartbeat();
    void record_readiness();
    void update_router_known();
    void send_gossip(Address const& peer, Membership::GossipDetail);
    void send_remote_digest();
    [[nodiscard]] std::vector<Address> gossip_targets();
    void fetch_configuration_from(Address const& peer);
    void poll_configuration();
    /// What one look at the configuration log brought.
    struct ConfigurationUpdate {
        std::optional<wire::ConfigurationSnapshot> snapshot;
        std::vector<wire::LogEntry> entries;
    };
    Result<ConfigurationUpdate> read_configuration_update(Revision known);
    void apply_configuration_update(Result<ConfigurationUpdate> const&);
    void poll_backend_servers();
    void broadcast_backend_servers();
    void apply_backend_servers(std::vector<Platform::BackendServerRecord>);
    void revision_moved();
    void record_platform_result(Result<void> const&);
    [[nodiscard]] bool is_poller() const;
    void broadcast_leaving_servers();

    NodeSettings node_settings;
    Core::EventLoop event_loop;
    Core::EventLog event_log;
    Core::Metrics metric_set;
    Platform::HttpPlatform platform_client;
    Wire::PeerTransport peer_transport;
    Membership::MemberTable member_table;
    Configuration::ConfigurationFollower follower;
    std::vector<Platform::BackendServerRecord> servers;
    std::map<EngineId, Instant> leaving_servers;
    std::function<void(wire::Envelope const&)> message_handler;
    std::vector<std::function<void()>> revision_handlers;
    std::vector<std::function<void()>> member_handlers;
    std::vector<std::function<void()>> backend_handlers;
    u64 heartbeat_count { 0 };
    std::mt19937 random;
    /// Up to this beat views go out in full, because members have come or gone.
    u64 full_gossip_until_heartbeat { 0 };
    bool configuration_poll_runs { false };
    bool backend_poll_runs { false };
    Instant last_configuration_poll;
    Instant last_backend_poll;
    Instant last_platform_contact;
    bool platform_is_available { true };
    bool staleness_reported { false };
    bool readiness_recorded { false };
    std::atomic<bool> configuration_known { false };
    /// Of use to gateways only; true for the others from the start.
    std::atomic<bool> router_known { false };
    std::atomic<bool> leaving { false };
    std::atomic<i64> last_heartbeat_milliseconds;
    // Last, so that its threads end before anything they use.
    Core::BackgroundCaller background_caller;
};

}
