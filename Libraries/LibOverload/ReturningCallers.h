/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/ReturnBook.h>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Overload {

/// The callers that this host has refused and asked to return, by the fingerprints of their requests. Each entry is
/// used once. A caller that returns early loses its entry, and one that sends its request often has one entry only.
class ReturningCallers {
public:
    struct Entry {
        ServiceName service;
        ReturnDemand demand;
        Instant due {};
    };
    enum class Arrival : u8 {
        /// This host has not asked it to return, or too long ago.
        New,
        Early,
        AsTold,
    };
    struct Return {
        Arrival arrival { Arrival::New };
        /// Set unless the caller is new.
        std::optional<Entry> entry {};
    };

    /// `fingerprint` is a hash of what the caller resends unchanged, and of its organisation.
    void record(u64 fingerprint, Entry, Instant now);
    /// To be called once for each request that arrives. Removes the caller's entry.
    Return take(u64 fingerprint, Instant now);
    /// Whether the request returned as told. To be called once for each request, since it removes the entry.
    bool came_back_as_told(u64 fingerprint, Instant now)
    {
        return this->take(fingerprint, now).arrival == Arrival::AsTold;
    }
    [[nodiscard]] size_t size() const { return this->entries.size(); }

private:
    /// Clocks and timers of callers are this inaccurate.
    static constexpr Duration early_tolerance = 20ms;
    /// A caller takes up to a second to connect. Later it has lost its turn.
    static constexpr Duration late_tolerance = 1s;
    /// About a quarter of a megabyte.
    static constexpr size_t max_entries = 2048;

    void expire(Instant now);

    struct Recorded {
        u64 fingerprint { 0 };
        Instant due {};
    };
    std::unordered_map<u64, Entry> entries;
    /// In the order in which they were recorded.
    std::deque<Recorded> order;
};

std::string_view to_string(ReturningCallers::Arrival);

}
