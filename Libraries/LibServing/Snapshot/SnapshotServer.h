/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Snapshot/PackedSnapshot.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Serving {

/// Hands the snapshots of this host's tables to hosts that have just started, at a bounded rate.
class SnapshotServer {
public:
    struct Callbacks {
        std::function<void(Address const& receiver, wire::SnapshotChunk)> send;
        /// Returns the current content of a table; nothing while this host does not know it.
        std::function<std::optional<Platform::TableSnapshot>(std::string const& table)> snapshot_of;
    };

    /// `bytes_per_second`: the part of this host's link that snapshots may use.
    SnapshotServer(double bytes_per_second, Callbacks callbacks)
        : bytes_per_second(bytes_per_second)
        , callbacks(std::move(callbacks))
    {
    }

    void handle_request(wire::SnapshotRequest const&, Address const& sender, Instant now);
    /// Keeps a snapshot that another host has packed, so that this host need not pack the same table.
    void keep(PackedSnapshot, Instant now);
    /// Sends what is due. To be called at short intervals while there are pending chunks.
    void send_pending(Instant now);
    [[nodiscard]] bool has_pending() const { return !this->pending.empty(); }

private:
    /// A snapshot is handed out for this long. Its receivers then read the changes since from other hosts or from the
    /// platform, which keeps them for some time only.
    static constexpr Duration max_age = 5s;
    /// Further requests are dropped; their senders repeat them.
    static constexpr size_t max_pending = 1024;
    /// What may be sent at once after a pause.
    static constexpr Duration burst = 50ms;

    struct Kept {
        PackedSnapshot packed;
        Instant kept_at {};
    };
    struct Pending {
        Address receiver;
        std::string table;
        u32 chunk { 0 };
    };
    PackedSnapshot const* packed_snapshot_of(std::string const& table, u64 wanted_version, Instant now);

    double bytes_per_second;
    Callbacks callbacks;
    std::map<std::string, Kept> kept;
    std::deque<Pending> pending;
    double allowance { 0 };
    Instant refilled_at {};
};

}
