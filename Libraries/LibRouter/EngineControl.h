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

/// What an engine says of itself.
struct EngineReport {
    double used_tokens { 0 };
    double capacity_tokens { 0 };
    u32 running { 0 };
    u32 waiting { 0 };
    double steps { 0 };
    double preemptions { 0 };
    Duration age { 0 };
    bool is_leaving { false };
    /// Generations that run or wait there.
    std::vector<GenerationId> generations;
    std::vector<std::string> adapters;
    /// Prefixes that came into the cache or left it since the sequence number asked for.
    std::vector<std::pair<u64, bool>> cache_events;
    u64 cache_sequence { 0 };
    /// Events after the number asked for are lost: what is believed of the cache must be forgotten.
    bool cache_has_gap { false };
};

/// Reads an engine's report. Blocks. Errors: BackendServerFailed.
Result<EngineReport> fetch_report(Address const&, u64 after_cache_sequence, Duration patience);

/// An order to an engine, with what fences it.
struct EngineOrder {
    Epoch epoch;
    Revision revision;
    std::vector<std::string> adapters;
};

/// Orders an engine to hold exactly these adapters. Blocks. Errors: FencedOut when it has seen a later epoch or
/// revision, BackendServerFailed.
Result<void> send_order(Address const&, EngineOrder const&, Duration patience);

}
