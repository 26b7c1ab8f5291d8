/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <optional>
#include <vector>

namespace Serving {

/// A host of a failure domain as a source of snapshots.
struct SnapshotPeer {
    Address address;
    /// Class of its processor and link; the higher, the more it can carry.
    u32 strength { 0 };
};

/// From where a host that starts loads the platform's tables.
enum class TableSource : u8 {
    /// Not decided yet.
    None,
    Peers,
    Platform,
};

/// The order in which the hosts of a failure domain load the platform's tables when they start, so that few of them
/// read the platform and each of the others has a host to fetch from. The hosts need not agree: each decides by the
/// hosts that it knows.
class StartOrder {
public:
    StartOrder(SnapshotPeer const& own, std::vector<SnapshotPeer> others);

    /// Number of hosts that precede this one. The strongest come first, and hashes of addresses order the rest.
    [[nodiscard]] size_t own_rank() const { return this->rank; }
    /// The hosts to fetch from, in order of preference: one of the strongest hosts if this one is weaker, else its
    /// parent in a tree over the ranks; then those that are known to have the table, in an order that differs between
    /// hosts; then others of the first kinds.
    [[nodiscard]] std::vector<Address> sources(std::vector<Address> const& holders) const;

    struct Situation {
        /// Time since this host has known the other hosts of its domain; empty while it does not.
        std::optional<Duration> knows_hosts_for;
        /// Time since the start of this host's process.
        Duration age { 0 };
        /// Another host has reported that it knows the table.
        bool holder_is_known { false };
        /// A fetch from another host is making progress.
        bool fetch_is_progressing { false };
    };
    [[nodiscard]] TableSource source_in(Situation const&) const;

private:
    /// Hosts that read the platform at once when all hosts start together.
    static constexpr size_t first_readers = 2;
    /// Hosts that fetch from one other host.
    static constexpr size_t fan_out = 8;
    /// Time in which running hosts respond to a host that has just become known.
    static constexpr Duration response_wait = 200ms;
    /// Time in which the first readers have usually read the tables.
    static constexpr Duration reader_wait = 2s;
    /// Time between the attempts of further readers, a few at a time, while nobody responds.
    static constexpr Duration reader_step = 100ms;
    static constexpr size_t readers_per_step = 2;
    /// A host that does not get to know others by then reads the platform.
    static constexpr Duration max_directory_wait = 3s;

    [[nodiscard]] std::vector<Address> preferred_sources() const;

    std::vector<SnapshotPeer> ordered;
    size_t rank { 0 };
};

}
