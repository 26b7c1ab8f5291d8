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

/// The common part of every daemon: the event loop, membership, the current configuration and the list of backend
/// servers. The daemon's service handles all other messages. Only for the event loop thread unless stated otherwise.
class Node {
public:
    explicit Node(NodeSettings);

    /// Begins gossip and polling. Call once, before the loop runs.
    void start();

    /// Sets the handler of messages that the node does not handle itself.
    void on_message(std::function<void(wire::Envelope const&)> handler) { this->message_handler = std::move(handler); }
    /// Adds a handler that is called after the configuration moved to a newer revision.
    void on_revision(std::function<void()> handler) { this->revision_handlers.push_back(std::move(handler)); }
    /// Adds a handler that is called after members joined, restarted, began to leave or were lost.
    void on_members(std::function<void()> handler) { this->member_handlers.push_back(std::move(handler)); }
    /// Adds a handler that is called after the list of backend servers, or of leaving ones, changed.
    void on_backend_servers(std::function<void()> handler) { this->backend_handlers.push_back(std::move(handler)); }

    void send(Address const& peer, wire::Envelope envelope) { this->peer_transport.send(peer, std::move(envelope)); }
    /// Returns the router that owns `key` in this process's view, or that would own it without those in `except`. It
    /// may be this process.
    [[nodiscard]] Membership::MemberRow const* owner_of(
        std::string const& key, std::set<MemberId> const& except = {}) const;

    [[nodiscard]] Configuration::Document const& configuration() const { return this->follower.document(); }
    /// Applies entries that this process accepted or read from the table. If any is new, sends them to all other
    /// members immediately.
    void broadcast_entries(std::vector<wire::LogEntry> const& entries);
    [[nodiscard]] std::vector<Platform::BackendServerRecord> const& backend_servers() const { return this->servers; }
    /// Whether a backend server must get no new work: according to the platform's list, its own report or an operator.
    [[nodiscard]] bool is_leaving(EngineId const&) const;
    /// Records that a backend server reported itself as leaving, and informs all other members immediately.
    void backend_server_is_leaving(EngineId const&);
    /// Records that a backend server no longer reports itself as leaving.
    void backend_server_is_back(EngineId const& id) { this->leaving_servers.erase(id); }

    /// Makes this process not ready for the balancer and announces that it is leaving, so that members give it no new
    /// work.
    void begin_leaving();
    [[nodiscard]] bool is_leaving_itself() const { return this->leaving; }
    /// Whether the daemon can serve: it has a configuration, from the platform or from peers; a gateway also knows a
    /// router; and it is not leaving. Any thread.
    [[nodiscard]] bool is_ready() const { return this->configuration_known && this->router_known && !this->leaving; }
    /// Returns why the daemon is not ready, for the readiness page. Any thread.
    [[nodiscard]] std::string readiness_reason() const;
    /// Whether the event loop has run a heartbeat recently. Any thread.
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
    /// The result of one poll of the configuration log.
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
    /// Up to this heartbeat, views are sent in full because members were added or removed.
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
    /// Only used by gateways. Always true for other roles.
    std::atomic<bool> router_known { false };
    std::atomic<bool> leaving { false };
    std::atomic<i64> last_heartbeat_milliseconds;
    // Declared last, so that its threads end before the members they use are destroyed.
    Core::BackgroundCaller background_caller;
};

}
