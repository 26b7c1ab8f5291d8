/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PeerUse.h>

namespace Serving {

/// Tokens added by running generations are reported with the next full state message, or in a delta if they add up to
/// this many.
static constexpr i64 min_token_change = 1000;

/// Hosts report one more than the number, because an older host that reports nothing sends 0. Any of its generations
/// may be a long one.
static i64 streams_of(wire::EngineUse const& use)
{
    return use.streams() > 0 ? static_cast<i64>(use.streams()) - 1 : static_cast<i64>(use.generations());
}

static void add_to(EngineWork& work, EngineWork const& use, int sign)
{
    work.generations += static_cast<u32>(sign) * use.generations;
    work.tokens += sign * use.tokens;
    work.unread_tokens += sign * use.unread_tokens;
    work.uncopied_tokens += sign * use.uncopied_tokens;
    work.incoming_tokens += sign * use.incoming_tokens;
    work.streams += sign * use.streams;
}

void PeerUse::add(Backend& backend, Use const& use, bool is_local, int sign)
{
    auto& engine = backend.engine;
    engine.peer_generations += static_cast<u32>(sign) * use.generations;
    engine.peer_tokens += sign * use.tokens;
    engine.peer_unread_tokens += sign * use.unread_tokens;
    engine.peer_uncopied_tokens += sign * use.uncopied_tokens;
    engine.peer_incoming_tokens += sign * use.incoming_tokens;
    engine.peer_streams += sign * use.streams;
    if (is_local)
        add_to(engine.domain_peer_work, use, sign);
}

void PeerUse::replace(Host& host, EngineId const& id, ReportedUse const& reported, BackendTable& table)
{
    auto& known = host.engines[id];
    if (auto backend = table.find_running(id)) {
        if (backend->matches_start(known.start))
            add(*backend, known.use, host.is_local, -1);
        if (backend->matches_start(reported.start))
            add(*backend, reported.use, host.is_local, 1);
    }
    known = reported;
    if (reported.use == Use {})
        host.engines.erase(id);
}

void PeerUse::forget_all_but(Host& host, std::set<EngineId> const& named, BackendTable& table)
{
    auto engines = host.engines;
    for (auto const& [id, reported] : engines) {
        if (!named.contains(id))
            replace(host, id, {}, table);
    }
}

void PeerUse::apply(MemberId const& name, wire::HostUse const& message, BackendTable& table, Instant now)
{
    auto& host = this->hosts[name];
    host.last_seen = now;
    host.is_local = message.domain_speaker().empty();
    std::set<EngineId> named;
    for (auto const& engine : message.engines()) {
        EngineId const id(engine.engine());
        named.insert(id);
        replace(host, id,
            { ServerStart(engine.start()),
                { engine.generations(), engine.tokens(), engine.unread_tokens(), engine.uncopied_tokens(),
                    engine.incoming_tokens(), streams_of(engine) } },
            table);
    }
    if (!message.is_whole())
        return;
    host.silence_limit
        = std::max<Duration>(min_silence_limit, 3 * std::chrono::milliseconds(message.period_milliseconds()));
    forget_all_but(host, named, table);
}

std::vector<MemberId> PeerUse::forget_silent(BackendTable& table, Instant now)
{
    std::vector<MemberId> forgotten;
    for (auto& [name, host] : this->hosts) {
        if (now - host.last_seen <= host.silence_limit)
            continue;
        forget_all_but(host, {}, table);
        forgotten.push_back(name);
    }
    for (auto const& name : forgotten)
        this->hosts.erase(name);
    return forgotten;
}

void PeerUse::forget(MemberId const& name, BackendTable& table)
{
    auto found = this->hosts.find(name);
    if (found == this->hosts.end())
        return;
    forget_all_but(found->second, {}, table);
    this->hosts.erase(found);
}

void PeerUse::apply_to(Backend& backend) const
{
    for (auto const& [name, host] : this->hosts) {
        auto found = host.engines.find(backend.server.id);
        if (found != host.engines.end() && backend.matches_start(found->second.start))
            add(backend, found->second.use, host.is_local, 1);
    }
}

PeerUse::Use OwnUse::use_of(Backend const& backend) const
{
    auto const& engine = backend.engine;
    PeerUse::Use use { engine.own_generations, engine.own_tokens + engine.expected_copy_tokens,
        engine.own_unread_tokens, engine.own_uncopied_tokens, engine.own_incoming_tokens, engine.own_streams };
    if (this->scope == UseScope::Domain)
        add_to(use, engine.domain_peer_work, 1);
    return use;
}

void OwnUse::append(wire::HostUse& message, BackendServer const& server, PeerUse::Use const& use)
{
    auto& engine = *message.add_engines();
    engine.set_engine(server.id.value());
    engine.set_start(server.start.value());
    engine.set_generations(use.generations);
    engine.set_tokens(use.tokens);
    engine.set_unread_tokens(use.unread_tokens);
    engine.set_uncopied_tokens(use.uncopied_tokens);
    engine.set_incoming_tokens(use.incoming_tokens);
    engine.set_streams(static_cast<u32>(use.streams + 1));
}

wire::HostUse OwnUse::full_state(BackendTable const& table)
{
    wire::HostUse message;
    message.set_is_whole(true);
    this->last_sent.clear();
    table.for_each_running([&](BackendPointer const& backend) {
        auto const use = use_of(*backend);
        if (use == PeerUse::Use {})
            return;
        append(message, backend->server, use);
        this->last_sent[backend->server.id] = use;
    });
    return message;
}

std::optional<wire::HostUse> OwnUse::delta(BackendTable const& table)
{
    wire::HostUse message;
    table.for_each_running([&](BackendPointer const& backend) {
        auto const& id = backend->server.id;
        auto const use = use_of(*backend);
        if (use == PeerUse::Use {} && !this->last_sent.contains(id))
            return;
        auto& before = this->last_sent[id];
        bool const has_changed = use.generations != before.generations || use.unread_tokens != before.unread_tokens
            || use.streams != before.streams || use.uncopied_tokens != before.uncopied_tokens
            || use.incoming_tokens != before.incoming_tokens
            || std::abs(use.tokens - before.tokens) >= min_token_change;
        if (!has_changed)
            return;
        append(message, backend->server, use);
        before = use;
    });
    if (message.engines_size() == 0)
        return {};
    return message;
}

}
