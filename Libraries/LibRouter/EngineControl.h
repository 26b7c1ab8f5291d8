/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <string>
#include <utility>
#include <vector>

namespace Router {

/// An engine's report of its own state.
struct EngineReport {
    double used_tokens { 0 };
    double capacity_tokens { 0 };
    u32 running { 0 };
    u32 waiting { 0 };
    double steps { 0 };
    double preemptions { 0 };
    Duration age { 0 };
    bool is_leaving { false };
    /// Generations that are running or waiting at the engine.
    std::vector<GenerationId> generations;
    std::vector<std::string> adapters;
    /// Prefixes that were added to the cache (true) or evicted from it (false) after the requested sequence number.
    std::vector<std::pair<u64, bool>> cache_events;
    u64 cache_sequence { 0 };
    /// Events after the requested sequence number are lost, so the known state of the cache must be discarded.
    bool cache_has_gap { false };
};

/// Fetches an engine's report. Blocks. Errors: BackendServerFailed.
Result<EngineReport> fetch_report(Address const&, u64 after_cache_sequence, Duration timeout);

/// An order to an engine, with the epoch and revision that fence it.
struct EngineOrder {
    Epoch epoch;
    Revision revision;
    std::vector<std::string> adapters;
};

/// Orders an engine to hold exactly these adapters. Blocks. Errors: FencedOut when the engine has seen a later epoch or
/// revision; BackendServerFailed.
Result<void> send_order(Address const&, EngineOrder const&, Duration timeout);

}
