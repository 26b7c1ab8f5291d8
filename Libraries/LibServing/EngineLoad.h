/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <optional>

namespace Serving {

/// An engine's report of its own state. It is a few hundred milliseconds old when it arrives.
struct EngineReport {
    u32 running { 0 };
    u32 waiting { 0 };
    /// Tokens in memory that cannot be reclaimed.
    TokenCount used;
    TokenCount total;
    bool is_leaving { false };
    /// The start of the reporting process.
    std::optional<ServerStart> start;
    /// Time until the process terminates; empty if the process does not know it.
    std::optional<Duration> ends_in;
};

/// The work of a set of hosts at an engine, as these hosts report it.
struct EngineWork {
    u32 generations { 0 };
    /// Tokens held in the engine's memory, including copies in transit to it.
    i64 tokens { 0 };
    /// Prompt tokens that the engine has not read yet.
    i64 unread_tokens { 0 };
    i64 uncopied_tokens { 0 };
    i64 incoming_tokens { 0 };
    i64 streams { 0 };
    bool operator==(EngineWork const&) const = default;
};

/// The work at an engine, as far as this host knows.
struct EngineLoad {
    /// Generations of this host: their number, the tokens they hold, and their prompt tokens that are not read yet.
    u32 own_generations { 0 };
    i64 own_tokens { 0 };
    i64 own_unread_tokens { 0 };
    /// The same for all other hosts, as they report it.
    u32 peer_generations { 0 };
    i64 peer_tokens { 0 };
    i64 peer_unread_tokens { 0 };
    /// The share of that work that belongs to hosts of this host's failure domain. The representative of the domain
    /// announces it to other domains.
    EngineWork domain_peer_work;
    /// Tokens of generations that must leave this engine and are not copied yet, which its link still has to send.
    i64 own_uncopied_tokens { 0 };
    i64 peer_uncopied_tokens { 0 };
    /// Tokens of generations whose first copy is in transit to this engine, which its link still has to receive.
    i64 own_incoming_tokens { 0 };
    i64 peer_incoming_tokens { 0 };
    /// Generations that will stream events for some time, from their dispatch to this engine on: the prompts that it
    /// reads after theirs lengthen their pauses.
    i64 own_streams { 0 };
    i64 peer_streams { 0 };
    /// Memory reserved at this engine for copies in transit.
    i64 expected_copy_tokens { 0 };
    std::optional<EngineReport> report;
    Instant report_received_at {};
    bool poll_in_flight { false };

    [[nodiscard]] i64 tokens() const { return this->own_tokens + this->peer_tokens + this->expected_copy_tokens; }
    [[nodiscard]] i64 unread_tokens() const { return this->own_unread_tokens + this->peer_unread_tokens; }
    [[nodiscard]] i64 uncopied_tokens() const { return this->own_uncopied_tokens + this->peer_uncopied_tokens; }
    [[nodiscard]] i64 incoming_tokens() const { return this->own_incoming_tokens + this->peer_incoming_tokens; }
    [[nodiscard]] i64 streams() const { return this->own_streams + this->peer_streams; }
    [[nodiscard]] u32 generations() const { return this->own_generations + this->peer_generations; }
};

}
