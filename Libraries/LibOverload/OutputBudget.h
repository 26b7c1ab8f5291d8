/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>

namespace Overload {

/// Bounds the memory for response bytes: those that callers have not read yet, or those of responses that are collected
/// before they are sent. Each caller may have as many unsent bytes as are still free of the whole (a dynamic
/// threshold): one slow reader can use half of the memory, and many slow readers share it evenly, without being
/// counted. No more is read from a backend server for a caller above the threshold.
class OutputBudget {
public:
    /// Each caller may always have this much, so that responses that are ready are delivered at any load.
    static constexpr size_t min_per_caller = 64 << 10;
    /// Below this, requests could not be served at all.
    static constexpr size_t min_total = 1 << 20;

    explicit OutputBudget(size_t total)
        : total(std::max(min_total, total))
    {
    }

    /// The part of a host's memory that may hold unsent bytes. The rest is for requests, tables and the process itself.
    static size_t total_for(u64 host_memory_bytes) { return static_cast<size_t>(host_memory_bytes / 4); }

    /// The part of a host's memory for responses that are being collected. Sound ones are complete within milliseconds.
    static size_t total_for_collected(u64 host_memory_bytes) { return static_cast<size_t>(host_memory_bytes / 8); }

    void set_total(size_t bytes) { this->total = std::max(min_total, bytes); }
    void add(size_t bytes) { this->used_bytes += bytes; }
    void remove(size_t bytes) { this->used_bytes -= std::min(bytes, this->used_bytes); }
    [[nodiscard]] size_t used() const { return this->used_bytes; }

    /// Whether a caller with this many unsent bytes has to read some before more is read for it.
    [[nodiscard]] bool must_pause(size_t unsent) const { return unsent > this->threshold(); }
    /// Whether a paused caller has read enough. The gap between the two limits keeps a reader from switching between
    /// them with each write.
    [[nodiscard]] bool may_resume(size_t unsent) const { return unsent <= this->threshold() / 2; }
    /// Whether more is held than may be. Callers have to be disconnected, the slowest first.
    [[nodiscard]] bool is_exceeded() const { return this->used_bytes > this->total; }
    /// Whether a caller has more unsent bytes than each may always have. Such callers are disconnected before others.
    [[nodiscard]] static bool is_above_minimum(size_t unsent) { return unsent > min_per_caller; }

private:
    [[nodiscard]] size_t threshold() const
    {
        auto const free = this->total - std::min(this->total, this->used_bytes);
        return std::max(min_per_caller, free);
    }

    size_t total;
    size_t used_bytes { 0 };
};

}
