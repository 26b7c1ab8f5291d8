/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/EventLog.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibServing/PeerUse.h>
#include <LibServing/ServingContext.h>
#include <LibWire/PeerTransport.h>
#include <set>

namespace Serving {

/// Talk between the entry hosts. A host learns of the others from the platform's table at its start, tells them that it
/// is there, and they learn of it from that. Hosts of one failure domain tell each other of every placement at once;
/// those of other domains as often as their number allows.
class PeerLink {
public:
    struct Observer {
        /// Another host says that a backend server is leaving.
        std::function<void(EngineId const&, std::optional<Instant> ends_at)> backend_leaves;
        /// Changes of a table of the platform. `is_from_near`: from this host's own domain.
        std::function<void(wire::PlatformNews const&, bool is_from_near)> news;
        /// Another host knows a change of this version of a table.
        std::function<void(std::string const& table, u64 last_change)> progress;
        /// How far this host has followed the platform's tables.
        std::function<std::vector<std::pair<std::string, u64>>()> own_progress;
    };

    PeerLink(ServingContext&, Observer);

    void start();
    [[nodiscard]] Address const& address() const { return this->transport.announced_address(); }

    /// An address that another host has, by the platform's table.
    void learn(Address const& peer, FailureDomainId const& domain);
    void backend_appeared(Backend& backend) { this->use.apply_to(backend); }
    /// Tells the others that a backend server is leaving; the platform may not have told them.
    void tell_leaving(Backend const&);
    /// Tells the hosts of this domain of a backend server that cannot be connected to.
    void tell_unreachable(Backend const&, Duration avoided);
    /// Passes on changes of a table that this host has read, to the hosts of this domain and to one of each other
    /// domain.
    void pass_on(wire::PlatformNews);
    /// Passes on changes that another host has read: within this domain to whom that one names, from another domain to
    /// all of this one.
    void relay(wire::PlatformNews const&, bool is_from_near);

private:
    void schedule_near();
    void schedule_far();
    void call_silent_peers();
    void tell_changes_soon();
    void tell_changes(bool to_near);
    void tell_whole(bool to_near);
    [[nodiscard]] wire::HostUse whole_message(Duration period);
    [[nodiscard]] size_t count(bool near) const;
    [[nodiscard]] Duration period(bool near) const;
    void broadcast(wire::HostUse const&, bool to_near);
    [[nodiscard]] std::vector<Address> heard_near() const;
    void send_through_relays(wire::PlatformNews, std::vector<Address> const& receivers);
    void send_whole(Address const& peer, bool wants_answer);
    void send(Address const& peer, wire::HostUse const&);
    void heard(wire::Envelope const&);
    void heard_use(Address const& sender, std::string const& name, wire::HostUse const&);

    ServingContext& context;
    Observer observer;
    Core::EventLog events;
    Wire::PeerTransport transport;
    Http::asio::steady_timer near_timer;
    Http::asio::steady_timer far_timer;
    Http::asio::steady_timer near_change_timer;
    Http::asio::steady_timer far_change_timer;
    std::set<Address> peers;
    PeerUse use;
    OwnUse told_near;
    OwnUse told_far;
    u32 near_rounds { 0 };
    Instant avoided_told_since {};
    u32 avoided_told { 0 };
    bool near_changes_wait { false };
    bool far_changes_wait { false };
};

}
