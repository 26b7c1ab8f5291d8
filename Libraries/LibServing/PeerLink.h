/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/EventLog.h>
#include <LibServing/PeerUse.h>
#include <LibServing/ServingContext.h>
#include <LibWire/AsioWatch.h>

namespace Serving {

/// Talk between the entry hosts. A host learns of the others from the platform's table at its start, tells them that it
/// is there, and they learn of it from that.
class PeerLink {
public:
    PeerLink(ServingContext& context, Address listen)
        : context(context)
        , events(context.settings.host)
        , transport(Wire::watch_on(context.loop), this->events, context.metrics, std::move(listen), {})
        , timer(context.loop)
        , change_timer(context.loop)
    {
        this->context.use_changed = [this] { this->tell_changes_soon(); };
        this->transport.on_message([this](wire::Envelope const& envelope) { this->heard(envelope); });
    }

    void start() { this->schedule(); }
    [[nodiscard]] Address const& address() const { return this->transport.listen_address(); }
    [[nodiscard]] size_t peer_count() const { return this->use.count(); }

    /// An address that another host was once reached at.
    void learn(Address const& peer)
    {
        if (peer == this->address() || this->peers.contains(peer))
            return;
        this->peers[peer] = {};
        this->send_whole(peer, true);
    }

    void backend_appeared(Backend& backend) { this->use.apply_to(backend); }

    /// Tells the others that a backend server is leaving; some may not hear it from the platform.
    void tell_leaving(Backend const& backend)
    {
        wire::HostUse message;
        auto& leaving = *message.add_leaving();
        leaving.set_backend(backend.server.id.value());
        leaving.set_ends_in_milliseconds(
            backend.ends_at ? AK::to_milliseconds(*backend.ends_at - this->context.now()) : -1);
        this->broadcast(message);
    }

    /// Called when another host says that a backend server is leaving.
    void on_leaving(std::function<void(EngineId const&, std::optional<Instant> ends_at)> observer)
    {
        this->leaving_heard = std::move(observer);
    }

private:
    struct Peer {
        Instant heard_at {};
    };

    /// Changes of one moment go out together; the others know of a placement within this time and their distance.
    static constexpr Duration change_delay = 2ms;
    /// Whole messages are some hundred bytes to each peer; this keeps all of them near 1.5 KB a second.
    static constexpr Duration whole_message_period_for_each_peer = 60ms;
    static constexpr Duration shortest_whole_message_period = 300ms;
    static constexpr Duration longest_whole_message_period = 2s;
    /// Whole messages that may be missed before a host counts as silent, and the time that one may be late.
    static constexpr int tolerated_missing_messages = 2;
    static constexpr Duration tolerated_lateness = 200ms;
    /// Hosts that are silent are still told now and then, in case they come back.
    static constexpr u32 whole_messages_between_calls_to_silent = 4;

    void schedule()
    {
        auto period = std::clamp<Duration>(static_cast<i64>(this->peers.size()) * whole_message_period_for_each_peer,
            shortest_whole_message_period, longest_whole_message_period);
        this->context.reach.set_silence_limit(tolerated_missing_messages * period + tolerated_lateness);
        this->timer.expires_after(period);
        this->timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            ++this->whole_messages;
            this->tell_whole();
            this->schedule();
        });
    }

    void tell_changes_soon()
    {
        if (std::exchange(this->changes_wait, true))
            return;
        this->change_timer.expires_after(change_delay);
        this->change_timer.async_wait([this](boost::system::error_code error) {
            this->changes_wait = false;
            if (error)
                return;
            if (auto changes = this->own.changes(this->context.backends))
                this->broadcast(*changes);
        });
    }

    void tell_whole()
    {
        auto now = this->context.now();
        for (auto const& name : this->use.forget_silent(this->context.backends, now))
            this->context.log.event(Core::EventNumber::MemberLost, name.value());
        auto message = this->own.whole(this->context.backends);
        message.set_failure_domain(this->context.settings.failure_domain.value());
        this->broadcast(message);
        if (this->whole_messages % whole_messages_between_calls_to_silent != 0)
            return;
        for (auto const& [address, peer] : this->peers) {
            if (now - peer.heard_at > PeerUse::silence_limit)
                this->send_whole(address, true);
        }
    }

    void broadcast(wire::HostUse const& message)
    {
        auto now = this->context.now();
        for (auto const& [address, peer] : this->peers) {
            if (now - peer.heard_at <= PeerUse::silence_limit)
                this->send(address, message);
        }
    }

    void send_whole(Address const& peer, bool wants_answer)
    {
        auto message = this->own.whole(this->context.backends);
        message.set_wants_answer(wants_answer);
        message.set_failure_domain(this->context.settings.failure_domain.value());
        this->send(peer, message);
    }

    void send(Address const& peer, wire::HostUse const& message)
    {
        wire::Envelope envelope;
        *envelope.mutable_host_use() = message;
        this->transport.send(peer, std::move(envelope));
    }

    void heard(wire::Envelope const& envelope)
    {
        if (!envelope.has_host_use())
            return;
        auto now = this->context.now();
        Address const sender(envelope.sender_address());
        auto& peer = this->peers[sender];
        if (now - peer.heard_at > PeerUse::silence_limit)
            this->context.log.event(Core::EventNumber::MemberJoined, envelope.sender()).with("address", sender);
        peer.heard_at = now;
        auto const& message = envelope.host_use();
        this->use.heard(MemberId(envelope.sender()), message, this->context.backends, now);
        if (!message.failure_domain().empty())
            this->context.reach.heard(sender, FailureDomainId(message.failure_domain()), now);
        else
            this->context.reach.heard(sender, now);
        for (auto const& leaving : message.leaving()) {
            std::optional<Instant> ends_at;
            if (leaving.ends_in_milliseconds() >= 0)
                ends_at = now + std::chrono::milliseconds(leaving.ends_in_milliseconds());
            this->leaving_heard(EngineId(leaving.backend()), ends_at);
        }
        if (message.wants_answer())
            this->send_whole(sender, false);
    }

    ServingContext& context;
    Core::EventLog events;
    Wire::PeerTransport transport;
    Http::asio::steady_timer timer;
    Http::asio::steady_timer change_timer;
    std::map<Address, Peer> peers;
    PeerUse use;
    OwnUse own;
    std::function<void(EngineId const&, std::optional<Instant>)> leaving_heard { [](auto const&, auto) {} };
    u32 whole_messages { 0 };
    bool changes_wait { false };
};

}
