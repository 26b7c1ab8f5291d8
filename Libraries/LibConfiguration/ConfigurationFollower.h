/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibConfiguration/Configuration.h>
#include <deque>
#include <span>

namespace Configuration {

/// This process's copy of the configuration, fed by the table and by peers. It only moves forward. Keeps the newest
/// entries for peers that are a little behind. Loop thread only.
class ConfigurationFollower {
public:
    /// Takes in what follows the current revision and passes over the rest. Says whether the revision moved.
    bool apply(std::span<wire::LogEntry const> entries);
    /// Takes in a snapshot newer than the current revision. Says whether the revision moved.
    bool apply(wire::ConfigurationSnapshot const&);
    /// What a peer at `revision` needs: the entries after it, or a snapshot.
    [[nodiscard]] wire::ConfigurationEntries entries_after(Revision revision) const;

    [[nodiscard]] Document const& document() const { return this->current; }
    [[nodiscard]] Revision revision() const { return this->current.revision(); }

private:
    static constexpr size_t max_recent_entries = 256;

    Document current;
    std::deque<wire::LogEntry> recent;
};

}
