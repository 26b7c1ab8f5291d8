/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/ConfigurationFollower.h>

namespace Configuration {

bool ConfigurationFollower::apply(std::span<wire::LogEntry const> entries)
{
    auto before = this->current.revision();
    for (auto const& entry : entries) {
        if (entry.revision() != this->current.revision().value() + 1)
            continue;
        this->current.apply(entry);
        this->recent.push_back(entry);
        if (this->recent.size() > max_recent_entries)
            this->recent.pop_front();
    }
    return this->current.revision() > before;
}

bool ConfigurationFollower::apply(wire::ConfigurationSnapshot const& snapshot)
{
    if (Revision(snapshot.revision()) <= this->current.revision())
        return false;
    this->current = Document::from_snapshot(snapshot);
    this->recent.clear();
    return true;
}

wire::ConfigurationEntries ConfigurationFollower::entries_after(Revision revision) const
{
    wire::ConfigurationEntries response;
    if (revision >= this->current.revision())
        return response;
    auto is_covered = !this->recent.empty() && this->recent.front().revision() <= revision.value() + 1;
    if (!is_covered) {
        *response.mutable_snapshot() = this->current.snapshot();
        return response;
    }
    for (auto const& entry : this->recent) {
        if (entry.revision() > revision.value())
            *response.add_entries() = entry;
    }
    return response;
}

}
