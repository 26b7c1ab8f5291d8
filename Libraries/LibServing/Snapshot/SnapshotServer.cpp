/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/SnapshotServer.h>
#include <algorithm>

namespace Serving {

/// A receiver that is half through a snapshot gets the rest of it, within limits.
PackedSnapshot const* SnapshotServer::packed_snapshot_of(std::string const& table, u64 wanted_version, Instant now)
{
    auto known = this->kept.find(table);
    bool const is_fresh = known != this->kept.end()
        && now - known->second.kept_at < (known->second.packed.version == wanted_version ? 2 * max_age : max_age);
    if (is_fresh)
        return &known->second.packed;
    auto snapshot = this->callbacks.snapshot_of(table);
    if (!snapshot)
        return nullptr;
    this->kept[table] = { pack_snapshot(table, *snapshot), now };
    return &this->kept[table].packed;
}

void SnapshotServer::handle_request(wire::SnapshotRequest const& request, Address const& sender, Instant now)
{
    auto const* packed = this->packed_snapshot_of(request.table(), request.version(), now);
    if (!packed) {
        // Without chunks, the response says that this host lives and does not know the table yet.
        wire::SnapshotChunk response;
        response.set_table(request.table());
        return this->callbacks.send(sender, std::move(response));
    }
    bool const is_other_version = request.version() != packed->version;
    auto const number = is_other_version ? 0 : request.chunk();
    if (number >= packed->chunk_count() || this->pending.size() >= max_pending)
        return;
    auto is_same = [&](Pending const& entry) {
        return entry.receiver == sender && entry.table == request.table() && entry.chunk == number;
    };
    if (std::ranges::none_of(this->pending, is_same))
        this->pending.push_back({ sender, request.table(), number });
    this->send_pending(now);
}

void SnapshotServer::keep(PackedSnapshot packed, Instant now)
{
    auto table = packed.table;
    this->kept[std::move(table)] = { std::move(packed), now };
}

void SnapshotServer::send_pending(Instant now)
{
    auto const most = std::max<double>(PackedSnapshot::chunk_bytes, this->bytes_per_second * AK::to_seconds(burst));
    this->allowance
        = std::min(most, this->allowance + this->bytes_per_second * AK::to_seconds(now - this->refilled_at));
    this->refilled_at = now;
    while (!this->pending.empty() && this->allowance >= PackedSnapshot::chunk_bytes) {
        auto const next = std::move(this->pending.front());
        this->pending.pop_front();
        auto const known = this->kept.find(next.table);
        if (known == this->kept.end() || next.chunk >= known->second.packed.chunk_count())
            continue;
        this->allowance -= PackedSnapshot::chunk_bytes;
        this->callbacks.send(next.receiver, known->second.packed.chunk(next.chunk));
    }
}

}
