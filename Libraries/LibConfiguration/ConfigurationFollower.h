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

/// This process's replica of the configuration, updated from the platform's table and by peers. Its revision never
/// decreases. Keeps the newest entries for peers that are a few revisions behind. Only for the event loop thread.
class ConfigurationFollower {
public:
    /// Applies the entries that follow the current revision and ignores the others. Returns whether the revision
    /// changed.
    bool apply(std::span<wire::LogEntry const> entries);
    /// Applies a snapshot if it is newer than the current revision. Returns whether the revision changed.
    bool apply(wire::ConfigurationSnapshot const&);
    /// Returns what a peer at `revision` is missing: the entries after it, or a snapshot if they are no longer kept.
    [[nodiscard]] wire::ConfigurationEntries entries_after(Revision revision) const;

    [[nodiscard]] Document const& document() const { return this->current; }
    [[nodiscard]] Revision revision() const { return this->current.revision(); }

private:
    static constexpr size_t max_recent_entries = 256;

    Document current;
    std::deque<wire::LogEntry> recent;
};

}
