/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Snapshot/PackedSnapshot.h>
#include <functional>
#include <map>
#include <optional>

namespace Serving {

/// Fetches the snapshot of one table from other hosts, chunk by chunk. A host that does not respond is replaced by the
/// next candidate, and so is one that responds for a while that it is itself still loading the table.
class SnapshotFetch {
public:
    struct Callbacks {
        std::function<void(Address const& holder, wire::SnapshotRequest)> send;
        /// The hosts to ask, in order of preference.
        std::function<std::vector<Address>()> candidates;
        std::function<void(PackedSnapshot)> fetched;
    };

    SnapshotFetch(std::string table, Callbacks callbacks)
        : table(std::move(table))
        , callbacks(std::move(callbacks))
    {
    }

    /// Must be called several times per second while the table is wanted.
    void tick(Instant now);
    void handle_chunk(wire::SnapshotChunk const&, Address const& sender, Instant now);
    /// Whether chunks are arriving.
    [[nodiscard]] bool is_progressing(Instant now) const;
    /// The host that is asked at present.
    [[nodiscard]] std::optional<Address> const& current_holder() const { return this->holder; }

private:
    /// Chunks that are requested at a time. More would overflow the queue of a slow link, since a holder serves several
    /// hosts.
    static constexpr size_t window = 2;
    static constexpr Duration response_timeout = 300ms;
    /// Requests without any response after which the next candidate is asked.
    static constexpr u32 max_silences = 3;
    /// Responses without the table after which the next candidate is asked.
    static constexpr u32 max_refusals = 3;
    /// Holders that have failed are asked again after this time.
    static constexpr Duration failure_memory = 1s;

    void give_up_holder(Instant now);
    void choose_holder(Instant now);
    void request(Instant now);
    void send_request(u32 number, Instant now);

    std::string table;
    Callbacks callbacks;
    SnapshotAssembly assembly;
    std::optional<Address> holder;
    std::map<Address, Instant> failed_at;
    u32 silences { 0 };
    u32 refusals { 0 };
    Instant requested_at {};
    Instant responded_at {};
    Instant advanced_at {};
    /// Where the search for missing chunks goes on.
    u32 next_chunk { 0 };
};

}
