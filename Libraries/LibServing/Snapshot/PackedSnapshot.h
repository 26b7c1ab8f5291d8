/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibWire/Messages.h>

namespace Serving {

/// A whole table of the platform at one version, compressed, as one host hands it to another in chunks.
struct PackedSnapshot {
    std::string table;
    u64 version { 0 };
    /// Version of the newest row.
    u64 last_change { 0 };
    std::string bytes;
    u64 checksum { 0 };

    /// Small enough that a lost datagram costs little.
    static constexpr size_t chunk_bytes = 8 << 10;
    /// Bounds the memory that a receiver reserves for a sender it does not trust: 16 MB.
    static constexpr u32 max_chunk_count = 2048;

    [[nodiscard]] u32 chunk_count() const
    {
        return static_cast<u32>((this->bytes.size() + chunk_bytes - 1) / chunk_bytes);
    }
    [[nodiscard]] wire::SnapshotChunk chunk(u32 number) const;
};

PackedSnapshot pack_snapshot(std::string table, Platform::TableSnapshot const&);
/// Errors: InvalidRequest if the bytes do not match the checksum, or hold no rows.
Result<Platform::TableSnapshot> unpack_snapshot(PackedSnapshot const&);

/// The chunks of one snapshot that have arrived. Chunks of two snapshots are never mixed.
class SnapshotAssembly {
public:
    enum class Result : u8 {
        Added,
        /// Malformed, a duplicate, or of an older snapshot than the one being assembled.
        Ignored,
        /// The chunk belongs to a newer snapshot. All earlier chunks have been dropped.
        Restarted,
    };

    Result add(wire::SnapshotChunk const&);
    [[nodiscard]] bool is_empty() const { return this->chunks.empty(); }
    [[nodiscard]] bool is_complete() const { return !this->is_empty() && this->missing == 0; }
    /// Up to `count` numbers of missing chunks, from the first one that is at least `from`.
    [[nodiscard]] std::vector<u32> missing_chunks(u32 from, size_t count) const;
    [[nodiscard]] u64 version() const { return this->header.version; }
    /// Returns the snapshot, and becomes empty. Requires that it is complete.
    PackedSnapshot take();

private:
    PackedSnapshot header;
    std::vector<std::string> chunks;
    u32 missing { 0 };
};

}
