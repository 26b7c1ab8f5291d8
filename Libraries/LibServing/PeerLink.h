/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibCore/HandlerGuard.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibServing/LogRateLimiter.h>
#include <LibServing/PeerUse.h>
#include <LibServing/ServingContext.h>
#include <LibWire/DatagramTransport.h>
#include <set>

namespace Serving {

/// The messages between the entry hosts. A host reads the addresses of the others from the platform's table at its
/// start and announces itself to those of its failure domain, which add it to the hosts they know. Hosts of one domain
/// announce every placement to each other at once. Between domains, the representatives of a domain report what all of
/// its hosts have running, and each receiver forwards the report within its own domain. The number of messages and
/// connections of a host thus grows with the size of its domain and with the number of domains, not with the total
/// number of hosts.
class PeerLink {
public:
    struct Observer {
        /// Another host reports that a backend server is leaving.
        std::function<void(EngineId const&, ServerStart, std::optional<Instant> ends_at)> backend_leaves;
        /// Another host reports that another process responds at the address of a backend server.
        std::function<void(EngineId const&, ServerStart, Address const&)> backend_terminated {
            [](EngineId const&, ServerStart, Address const&) {}
        };
        /// An update of a platform table was received. `is_local_sender`: the sender is in this host's domain.
        std::function<void(wire::PlatformNews const&, bool is_local_sender)> update_received;
        /// Another host knows a table up to the version `last_change`, and can be queried for the changes.
        std::function<void(std::string const& table, u64 last_change, Address const& host)> progress_received;
        /// Returns the logged updates of a table after a version.
        std::function<std::vector<wire::PlatformNews>(std::string const& table, u64 version)> updates_since;
        /// Another host requests or sends a chunk of a snapshot.
        std::function<void(wire::SnapshotRequest const&, Address const& sender)> snapshot_requested {
            [](wire::SnapshotRequest const&, Address const&) {}
        };
        std::function<void(wire::SnapshotChunk const&, Address const& sender)> snapshot_received {
            [](wire::SnapshotChunk const&, Address const&) {}
        };
        /// Another host reports its tally of a roll-out, or its domain's.
        std::function<void(wire::RolloutTally const&, Address const& sender)> tally_received {
            [](wire::RolloutTally const&, Address const&) {}
        };
        /// Returns the last known change of each platform table that this host follows.
        std::function<std::vector<std::pair<std::string, u64>>()> own_progress;
    };

    PeerLink(ServingContext&, Observer);

    void start();
    [[nodiscard]] std::vector<Address> reachable_local_addresses() const;
    [[nodiscard]] Address const& address() const { return this->transport.announced_address(); }

    /// Applies hosts of the platform's table, which may contain this host. `is_complete`: these are all of them.
    void update_known_hosts(std::vector<KnownHost> hosts, bool is_complete = true);
    void send_snapshot_request(Address const& holder, wire::SnapshotRequest);
    void send_snapshot_chunk(Address const& receiver, wire::SnapshotChunk);
    /// Reports this host's state to its domain at once, for example when it has loaded a table.
    void broadcast_full_state();
    void backend_added(Backend& backend) { this->peer_use.apply_to(backend); }
    /// Announces to the other hosts that a backend server is leaving, in case they have not read it from the platform.
    void announce_leaving(Backend const&);
    /// Announces a backend server that refuses requests.
    void announce_refusals(Backend const&);
    /// Announces that another process responds at the address of a backend server.
    void announce_termination(BackendServer const&);
    /// Announces the rate limit that a backend server has reported.
    void announce_limit(Backend const&);
    /// Announces what this host knows of requests or prompt parts under which servers have terminated.
    void announce_request_terminations(std::span<RequestFingerprint const>);
    /// Asks other hosts for contact to the services to which this host has lost it.
    void query_contact();
    /// Announces the shortages that this host has observed.
    void announce_shortage();
    /// Announces, to the hosts of this domain only, a backend server to which no connection can be established.
    void announce_unreachable(Backend const&, Duration avoided);
    /// Announces the failure domains that seem to have failed, or have responded again, by this host's own connections.
    void announce_doubts();
    /// Sends an update of a table that this host has read to the hosts of this domain and to one host of each other
    /// domain.
    void announce_update(wire::PlatformNews);
    /// Sends a tally of a roll-out to the given hosts.
    void send_tally(std::span<Address const> receivers, wire::RolloutTally);
    /// One host of each other domain.
    [[nodiscard]] std::vector<Address> remote_receivers();
    /// Requests the updates of a table after this version from another host.
    void fetch_updates(Address const& host, std::string const& table, u64 version);
    /// Forwards an update that another host has read. An update from this domain goes to the receivers that its sender
    /// names, one from another domain to all hosts of this domain.
    void relay(wire::PlatformNews const&, bool is_local_sender);

private:
    void schedule_full_state();
    void schedule_digest();
    void probe_silent_peers();
    void schedule_delta();
    void schedule_domain_delta();
    void complete_full_state(wire::HostUse&, Duration period);
    [[nodiscard]] size_t own_representative_rank() const;
    [[nodiscard]] Duration period() const;
    /// Time until this host's next full state message to another one.
    [[nodiscard]] Duration next_full_state_in(Address const& peer) const;
    /// Time between two full state messages to a host that gets them in turn.
    [[nodiscard]] Duration background_period() const;
    [[nodiscard]] Duration domain_delta_delay() const;
    void broadcast(wire::HostUse const&);
    void send_to_remote_domains(wire::HostUse);
    template<typename Message>
    void send_through_relays(Message, std::vector<Address> const& receivers);
    void send_full_state(Address const& peer, bool wants_answer);
    void send(std::span<Address const> peers, wire::HostUse);
    void send(std::span<Address const> peers, wire::PlatformNews);
    void handle_fetch(Address const& peer, wire::NewsFetch const&);
    void handle_request_terminations(Address const& announcer, wire::HostUse const&);
    void handle_contact_query(Address const& sender, wire::ContactQuery const&);
    void handle_message(wire::Envelope const&);
    [[nodiscard]] std::vector<Address> contact_query_receivers();
    /// Applies what another host of this domain reports of its callers' demand.
    void apply_demand(MemberId const& host, wire::HostUse const&);
    void handle_host_message(Address const& sender, std::string const& name, wire::HostUse const&);
    void handle_domain_message(Address const& sender, wire::HostUse const&);
    void handle_progress(Address const& sender, wire::HostUse const&);
    [[nodiscard]] std::vector<Address> next_background_receivers(std::vector<Address> const& reachable);
    void announce_lost_hosts();
    /// Tells the other domains what the hosts of this one agree on, if this host is its first representative.
    void announce_domain_doubts();
    void handle_lost_hosts(wire::HostUse const&);
    void handle_leaving_list(wire::HostUse const&);
    void handle_terminated_list(wire::HostUse const&);

    ServingContext& context;
    Observer observer;
    Wire::DatagramTransport transport;
    AK::Timer full_state_timer;
    AK::Timer digest_timer;
    AK::Timer delta_timer;
    AK::Timer domain_delta_timer;
    /// The other hosts of this host's failure domain.
    std::set<Address> peers;
    std::map<Address, MemberId> names;
    /// The local hosts that were reachable in the previous round, and those that are being announced as lost, with the
    /// number of further announcements.
    std::set<Address> reachable_before;
    std::map<Address, u32> lost_hosts;
    /// The last host that got a background message; they are sent in the order of addresses.
    Address last_background_receiver;
    PeerUse peer_use;
    OwnUse own_use { UseScope::Host };
    OwnUse domain_use { UseScope::Domain };
    u32 rounds { 0 };
    u64 remote_messages_sent { 0 };
    /// Start of the current one-second window, and the number of unreachable servers announced in it.
    Instant unreachable_window_start {};
    u32 unreachable_announced { 0 };
    /// By host and prompt part; a suspicion is announced several times.
    LogRateLimiter reported_clearances { 1s };
    bool delta_pending { false };
    bool domain_delta_pending { false };
    Core::HandlerGuard guard;
};

}
