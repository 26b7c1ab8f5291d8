/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibCore/HandlerGuard.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibServing/PeerUse.h>
#include <LibServing/ServingContext.h>
#include <LibWire/DatagramTransport.h>
#include <set>

namespace Serving {

/// Talk between the entry hosts. A host learns of the others from the platform's table at its start, tells those of its
/// failure domain that it is there, and they learn of it from that. Hosts of one domain tell each other of every
/// placement at once. Between domains the hosts that speak for them tell what all of their hosts have running, and who
/// hears that passes it on inside its own domain. So what a host sends, and the connections that it keeps, grow with
/// its domain and with the number of domains, not with the number of hosts.
class PeerLink {
public:
    struct Observer {
        /// Another host says that a backend server is leaving.
        std::function<void(EngineId const&, ServerStart, std::optional<Instant> ends_at)> backend_leaves;
        /// Another host says that another process answers where a backend server was.
        std::function<void(EngineId const&, ServerStart, Address const&)> backend_terminated {
            [](EngineId const&, ServerStart, Address const&) {}
        };
        /// Changes of a table of the platform. `is_local_sender`: from this host's own domain.
        std::function<void(wire::PlatformNews const&, bool is_local_sender)> update_received;
        /// Another host knows a change of this version of a table; it can be asked for it.
        std::function<void(std::string const& table, u64 last_change, Address const& host)> progress_received;
        /// What is kept of a table's changes after a version.
        std::function<std::vector<wire::PlatformNews>(std::string const& table, u64 version)> updates_since;
        /// How far this host has followed the platform's tables.
        std::function<std::vector<std::pair<std::string, u64>>()> own_progress;
    };

    PeerLink(ServingContext&, Observer);

    void start();
    [[nodiscard]] Address const& address() const { return this->transport.announced_address(); }

    /// Takes in the platform's table of hosts, this one among them or not.
    void update_known_hosts(std::vector<KnownHost> hosts);
    void backend_added(Backend& backend) { this->use.apply_to(backend); }
    /// Tells the others that a backend server is leaving; the platform may not have told them.
    void announce_leaving(Backend const&);
    /// Tells the others of a backend server that refuses requests.
    void announce_refusals(Backend const&);
    /// Tells the others of a backend server in whose place another process answers.
    void announce_termination(BackendServer const&);
    /// Tells the others of the limit that a backend server has named.
    void announce_limit(Backend const&);
    /// Tells the others what this host has found out of a request under which servers end.
    void announce_request_termination(RequestFingerprint const&);
    /// Tells the hosts of this domain of a backend server that cannot be connected to.
    void announce_unreachable(Backend const&, Duration avoided);
    /// Passes on changes of a table that this host has read, to the hosts of this domain and to one of each other
    /// domain.
    void announce_update(wire::PlatformNews);
    /// Asks another host for the changes of a table after this version.
    void fetch_updates(Address const& host, std::string const& table, u64 version);
    /// Passes on changes that another host has read: within this domain to whom that one names, from another domain to
    /// all of this one.
    void relay(wire::PlatformNews const&, bool is_local_sender);

private:
    void schedule_full_state();
    void schedule_digest();
    void probe_silent_peers();
    void schedule_delta();
    void schedule_domain_delta();
    void broadcast_full_state();
    void complete_full_state(wire::HostUse&, Duration period);
    [[nodiscard]] size_t own_representative_rank() const;
    [[nodiscard]] Duration period() const;
    [[nodiscard]] Duration domain_delta_delay() const;
    void broadcast(wire::HostUse const&);
    void send_to_remote_domains(wire::HostUse);
    [[nodiscard]] std::vector<Address> reachable_local_addresses() const;
    template<typename Message>
    void send_through_relays(Message, std::vector<Address> const& receivers);
    void send_full_state(Address const& peer, bool wants_answer);
    void send(std::span<Address const> peers, wire::HostUse);
    void send(std::span<Address const> peers, wire::PlatformNews);
    void handle_fetch(Address const& peer, wire::NewsFetch const&);
    void handle_message(wire::Envelope const&);
    void handle_host_message(Address const& sender, std::string const& name, wire::HostUse const&);
    void handle_domain_message(Address const& sender, wire::HostUse const&);
    void handle_progress(Address const& sender, wire::HostUse const&);
    void handle_leaving_list(wire::HostUse const&);
    void handle_terminated_list(wire::HostUse const&);

    ServingContext& context;
    Observer observer;
    Wire::DatagramTransport transport;
    AK::Timer full_state_timer;
    AK::Timer digest_timer;
    AK::Timer delta_timer;
    AK::Timer domain_delta_timer;
    /// Of this host's failure domain.
    std::set<Address> peers;
    PeerUse use;
    OwnUse last_sent_to_hosts { UseScope::Host };
    OwnUse last_sent_to_domains { UseScope::Domain };
    u32 rounds { 0 };
    u64 remote_messages_sent { 0 };
    Instant unreachable_window_start {};
    u32 unreachable_announced { 0 };
    bool delta_pending { false };
    bool domain_delta_pending { false };
    Core::HandlerGuard guard;
};

}
