/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <optional>

namespace Serving {

/// What an engine reports of itself. It is some hundred milliseconds old when it arrives.
struct EngineReport {
    u32 running { 0 };
    u32 waiting { 0 };
    /// Memory that cannot be reclaimed.
    TokenCount used;
    TokenCount total;
    bool is_leaving { false };
    /// Of the process that reports.
    std::optional<ServerStart> start;
    /// How long the process will still run, if it knows.
    std::optional<Duration> ends_in;
};

/// What some hosts have at an engine, by their own word.
struct EngineWork {
    u32 generations { 0 };
    /// Held in its memory, with copies that are on their way there.
    i64 tokens { 0 };
    /// Of prompts that are not read yet.
    i64 unread_tokens { 0 };
    i64 uncopied_tokens { 0 };
    i64 incoming_tokens { 0 };
    bool operator==(EngineWork const&) const = default;
};

/// Work at an engine, as far as this host knows.
struct EngineLoad {
    /// Generations of this host: their number, the tokens they hold, and those of their prompts still to be read.
    u32 own_generations { 0 };
    i64 own_tokens { 0 };
    i64 own_unread_tokens { 0 };
    /// The same of all other hosts, by their own word.
    u32 peer_generations { 0 };
    i64 peer_tokens { 0 };
    i64 peer_unread_tokens { 0 };
    /// The part of it that hosts of this host's own failure domain have: what its speaker tells other domains.
    EngineWork domain_peer_work;
    /// Tokens of generations that have to leave this engine and are not copied yet: what its link still has to carry.
    i64 own_uncopied_tokens { 0 };
    i64 peer_uncopied_tokens { 0 };
    /// Tokens of generations whose first copy is on its way here: what its link still has to take in.
    i64 own_incoming_tokens { 0 };
    i64 peer_incoming_tokens { 0 };
    /// Memory set aside here for copies that are on their way.
    i64 expected_copy_tokens { 0 };
    std::optional<EngineReport> report;
    Instant report_received_at {};
    bool poll_in_flight { false };

    [[nodiscard]] i64 tokens() const { return this->own_tokens + this->peer_tokens + this->expected_copy_tokens; }
    [[nodiscard]] i64 unread_tokens() const { return this->own_unread_tokens + this->peer_unread_tokens; }
    [[nodiscard]] i64 uncopied_tokens() const { return this->own_uncopied_tokens + this->peer_uncopied_tokens; }
    [[nodiscard]] i64 incoming_tokens() const { return this->own_incoming_tokens + this->peer_incoming_tokens; }
    [[nodiscard]] u32 generations() const { return this->own_generations + this->peer_generations; }
};

}
