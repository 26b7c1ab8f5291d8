/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PeerLink.h>
#include <LibServing/Relays.h>
#include <LibServing/Suspicion.h>
#include <LibWire/AsioWatch.h>
#include <algorithm>

namespace Serving {

/// Changes of one moment go out together; near hosts know of a placement within this time and their distance.
static constexpr Duration near_change_delay = 2ms;
/// Few hosts of other domains are told as fast. Each one more slows that down, so that the bytes stay the same.
static constexpr i64 far_hosts_told_at_once = 12;
static constexpr Duration far_change_delay_for_each_more = 10ms;
/// A whole message is some hundred bytes to each peer; this keeps all of them near 1.5 KB a second each way.
static constexpr Duration period_for_each_peer = 60ms;
static constexpr Duration shortest_period = 300ms;
static constexpr Duration longest_near_period = 1s;
static constexpr Duration longest_far_period = 10s;
/// Hosts that are silent are still called now and then, in case they come back.
static constexpr u32 rounds_between_calls_to_silent = 4;

/// Hosts that one sends news of the platform to; each of them passes it on to its part of the rest. Two steps reach a
/// domain of 72 hosts, and no host's link carries more than so many copies.
static constexpr size_t relay_fan_out = 8;
/// A host that avoids many backend servers at once is most likely cut off or short of its link itself; the others need
/// not hear of more than these in a second.
static constexpr u32 most_avoided_told = 8;

PeerLink::PeerLink(ServingContext& context, Observer observer)
    : context(context)
    , observer(std::move(observer))
    , events(context.settings.host)
    , transport(Wire::watch_on(context.loop), this->events, context.metrics, context.settings.peer_listen, {})
    , near_timer(context.loop)
    , far_timer(context.loop)
    , near_change_timer(context.loop)
    , far_change_timer(context.loop)
{
    this->transport.announce_as(context.settings.peer_address);
    this->context.use_changed = [this] { this->tell_changes_soon(); };
    this->context.backend_unreachable
        = [this](Backend const& backend, Duration avoided) { this->tell_unreachable(backend, avoided); };
    this->transport.on_message([this](wire::Envelope const& envelope) { this->heard(envelope); });
}

void PeerLink::start()
{
    this->schedule_near();
    this->schedule_far();
}

void PeerLink::learn(Address const& peer, FailureDomainId const& domain)
{
    if (peer == this->address() || !this->peers.insert(peer).second)
        return;
    this->context.reach.learn(peer, domain);
    this->send_whole(peer, true);
}

void PeerLink::tell_leaving(Backend const& backend)
{
    wire::HostUse message;
    auto& leaving = *message.add_leaving();
    leaving.set_backend(backend.server.id.value());
    leaving.set_ends_in_milliseconds(
        backend.ends_at ? AK::to_milliseconds(*backend.ends_at - this->context.now()) : -1);
    this->broadcast(message, true);
    this->broadcast(message, false);
}

void PeerLink::tell_unreachable(Backend const& backend, Duration avoided)
{
    auto now = this->context.now();
    if (now - this->avoided_told_since >= 1s) {
        this->avoided_told_since = now;
        this->avoided_told = 0;
    }
    if (++this->avoided_told > most_avoided_told || this->context.reach.is_cut_off(now))
        return;
    wire::HostUse message;
    auto& unreachable = *message.add_unreachable();
    unreachable.set_backend(backend.server.id.value());
    unreachable.set_avoided_milliseconds(static_cast<u32>(AK::to_milliseconds(avoided)));
    this->broadcast(message, true);
}

std::vector<Address> PeerLink::heard_near() const
{
    auto now = this->context.now();
    std::vector<Address> heard;
    for (auto const& address : this->peers) {
        if (this->context.reach.is_near(address) && this->context.reach.is_heard(address, now))
            heard.push_back(address);
    }
    return heard;
}

void PeerLink::send_through_relays(wire::PlatformNews news, std::vector<Address> const& receivers)
{
    for (auto const& part : split_for_relays(receivers, relay_fan_out)) {
        news.clear_relay_to();
        for (size_t i = 1; i < part.size(); ++i)
            news.add_relay_to(part[i].value());
        wire::Envelope envelope;
        *envelope.mutable_platform_news() = news;
        this->transport.send(part.front(), std::move(envelope));
    }
}

void PeerLink::pass_on(wire::PlatformNews news)
{
    news.set_failure_domain(this->context.settings.failure_domain.value());
    this->send_through_relays(news, this->heard_near());
    wire::Envelope envelope;
    *envelope.mutable_platform_news() = std::move(news);
    for (auto const& reader : this->context.reach.readers_elsewhere(this->context.now()))
        this->transport.send(reader, envelope);
}

void PeerLink::relay(wire::PlatformNews const& news, bool is_from_near)
{
    std::vector<Address> receivers;
    for (auto const& address : news.relay_to())
        receivers.emplace_back(address);
    auto own = news;
    own.set_failure_domain(this->context.settings.failure_domain.value());
    this->send_through_relays(std::move(own), is_from_near ? receivers : this->heard_near());
}

size_t PeerLink::count(bool near) const
{
    return static_cast<size_t>(std::ranges::count_if(
        this->peers, [&](Address const& peer) { return this->context.reach.is_near(peer) == near; }));
}

Duration PeerLink::period(bool near) const
{
    auto wanted = static_cast<i64>(this->count(near)) * period_for_each_peer;
    return std::clamp<Duration>(wanted, shortest_period, near ? longest_near_period : longest_far_period);
}

void PeerLink::schedule_near()
{
    this->near_timer.expires_after(this->period(true));
    this->near_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        for (auto const& name : this->use.forget_silent(this->context.backends, this->context.now()))
            this->context.log.event(Core::EventNumber::MemberLost, name.value());
        this->tell_whole(true);
        if (++this->near_rounds % rounds_between_calls_to_silent == 0)
            this->call_silent_peers();
        this->schedule_near();
    });
}

void PeerLink::schedule_far()
{
    this->far_timer.expires_after(this->period(false));
    this->far_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->tell_whole(false);
        this->schedule_far();
    });
}

void PeerLink::call_silent_peers()
{
    auto now = this->context.now();
    for (auto const& address : this->peers) {
        if (!this->context.reach.is_heard(address, now))
            this->send_whole(address, true);
    }
}

void PeerLink::tell_changes_soon()
{
    if (!std::exchange(this->near_changes_wait, true)) {
        this->near_change_timer.expires_after(near_change_delay);
        this->near_change_timer.async_wait([this](boost::system::error_code error) {
            this->near_changes_wait = false;
            if (!error)
                this->tell_changes(true);
        });
    }
    if (!std::exchange(this->far_changes_wait, true)) {
        auto more = std::max<i64>(0, static_cast<i64>(this->count(false)) - far_hosts_told_at_once);
        this->far_change_timer.expires_after(near_change_delay + more * far_change_delay_for_each_more);
        this->far_change_timer.async_wait([this](boost::system::error_code error) {
            this->far_changes_wait = false;
            if (!error)
                this->tell_changes(false);
        });
    }
}

void PeerLink::tell_changes(bool to_near)
{
    auto& told = to_near ? this->told_near : this->told_far;
    if (auto changes = told.changes(this->context.backends))
        this->broadcast(*changes, to_near);
}

wire::HostUse PeerLink::whole_message(Duration period)
{
    auto message = OwnUse().whole(this->context.backends);
    message.set_failure_domain(this->context.settings.failure_domain.value());
    message.set_period_milliseconds(static_cast<u32>(AK::to_milliseconds(period)));
    message.set_platform_is_lost(this->context.reach.platform_lost_here());
    for (auto const& [table, last_change] : this->observer.own_progress()) {
        auto& progress = *message.add_tables();
        progress.set_table(table);
        progress.set_last_change(last_change);
    }
    return message;
}

void PeerLink::tell_whole(bool to_near)
{
    auto& told = to_near ? this->told_near : this->told_far;
    (void)told.whole(this->context.backends);
    this->broadcast(this->whole_message(this->period(to_near)), to_near);
}

void PeerLink::broadcast(wire::HostUse const& message, bool to_near)
{
    auto now = this->context.now();
    for (auto const& address : this->peers) {
        if (this->context.reach.is_near(address) == to_near && this->context.reach.is_heard(address, now))
            this->send(address, message);
    }
}

void PeerLink::send_whole(Address const& peer, bool wants_answer)
{
    auto message = this->whole_message(this->period(this->context.reach.is_near(peer)));
    message.set_wants_answer(wants_answer);
    this->send(peer, message);
}

void PeerLink::send(Address const& peer, wire::HostUse const& message)
{
    wire::Envelope envelope;
    *envelope.mutable_host_use() = message;
    this->transport.send(peer, std::move(envelope));
}

void PeerLink::heard(wire::Envelope const& envelope)
{
    Address const sender(envelope.sender_address());
    if (envelope.has_host_use())
        return this->heard_use(sender, envelope.sender(), envelope.host_use());
    if (!envelope.has_platform_news())
        return;
    auto const& news = envelope.platform_news();
    this->context.reach.heard(sender, this->context.now());
    this->observer.news(news, FailureDomainId(news.failure_domain()) == this->context.settings.failure_domain);
}

void PeerLink::heard_use(Address const& sender, std::string const& name, wire::HostUse const& message)
{
    auto now = this->context.now();
    if (!this->context.reach.is_heard(sender, now))
        this->context.log.event(Core::EventNumber::MemberJoined, name).with("address", sender);
    this->peers.insert(sender);
    if (message.is_whole()) {
        auto period = std::chrono::milliseconds(message.period_milliseconds());
        this->context.reach.heard(
            sender, { FailureDomainId(message.failure_domain()), period, message.platform_is_lost() }, now);
    } else {
        this->context.reach.heard(sender, now);
    }
    this->use.heard(MemberId(name), message, this->context.backends, now);
    take_suspicions(this->context, MemberId(name), message);
    for (auto const& leaving : message.leaving()) {
        std::optional<Instant> ends_at;
        if (leaving.ends_in_milliseconds() >= 0)
            ends_at = now + std::chrono::milliseconds(leaving.ends_in_milliseconds());
        this->observer.backend_leaves(EngineId(leaving.backend()), ends_at);
    }
    for (auto const& progress : message.tables())
        this->observer.progress(progress.table(), progress.last_change());
    if (message.wants_answer())
        this->send_whole(sender, false);
}

}
