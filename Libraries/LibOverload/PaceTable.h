/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/KnownPace.h>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Overload {

/// Whose observations are meant.
enum class PaceScope : u8 {
    /// Those of this host, for the hosts of its failure domain.
    Host,
    /// Those of all hosts of this failure domain, for other domains.
    Domain,
};

/// What hosts tell each other about one start of an engine.
struct PaceReport {
    EngineId engine;
    ServerStart start;
    EnginePace pace;
    /// What the engine last reported.
    std::optional<SlownessReading> slowness {};
};

/// What this host knows of the lasting speeds of engines, and what it still has to tell other hosts. Each value is sent
/// once when it becomes known, and again for a while with the messages that are sent anyway, in case one was lost. A
/// later start of an engine inherits nothing.
class PaceTable {
public:
    /// What this host knows of one start of an engine. Anything about another start is dropped.
    KnownPace& pace_of(EngineId const&, ServerStart);
    /// To be called after this host has recorded something in the engine's `own` estimates. Returns whether other hosts
    /// are to be told.
    bool record_observation(EngineId const&, Instant now);
    /// Applies a report of another host. `is_local`: it is of this host's failure domain.
    void merge(PaceReport const&, bool is_local, Instant now);

    /// What has not been sent yet. It counts as sent from then on.
    [[nodiscard]] std::vector<PaceReport> take_unsent(PaceScope);
    /// What has become known lately.
    [[nodiscard]] std::vector<PaceReport> recent(PaceScope, Instant now) const;
    /// All that this host has observed itself, for a host that has just started.
    [[nodiscard]] std::vector<PaceReport> all_own() const;

    /// Drops the engines for which `is_kept` is false.
    void retain(std::function<bool(EngineId const&, ServerStart)> const& is_kept);
    /// The number of engines of which anything is known.
    [[nodiscard]] size_t count() const { return this->entries.size(); }

private:
    struct News {
        std::optional<Instant> since;
        bool is_unsent { false };
    };
    struct Entry {
        ServerStart start;
        KnownPace pace;
        News host;
        News domain;

        [[nodiscard]] News const& news(PaceScope) const;
        [[nodiscard]] EnginePace pace_for(PaceScope) const;
    };

    static void begin(News&, Instant now);

    std::unordered_map<EngineId, Entry> entries;
    /// Whether any entry has something to send. Most messages have nothing.
    bool has_unsent_host { false };
    bool has_unsent_domain { false };
};

}
