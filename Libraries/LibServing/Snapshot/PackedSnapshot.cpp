/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Compression.h>
#include <LibServing/Snapshot/PackedSnapshot.h>
#include <algorithm>
#include <xxhash.h>

namespace Serving {

/// Twenty times the largest table of the fleet that the system is designed for.
static constexpr size_t max_unpacked_bytes = 64 << 20;

static u64 checksum_of(std::string const& bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

wire::SnapshotChunk PackedSnapshot::chunk(u32 number) const
{
    wire::SnapshotChunk chunk;
    chunk.set_table(this->table);
    chunk.set_version(this->version);
    chunk.set_last_change(this->last_change);
    chunk.set_number(number);
    chunk.set_count(this->chunk_count());
    chunk.set_checksum(this->checksum);
    chunk.set_bytes(this->bytes.substr(number * chunk_bytes, chunk_bytes));
    return chunk;
}

PackedSnapshot pack_snapshot(std::string table, Platform::TableSnapshot const& snapshot)
{
    wire::TableRows rows;
    for (auto const& source : snapshot.rows) {
        auto& row = *rows.add_rows();
        row.set_key(source.key);
        row.set_value(source.value);
        row.set_version(source.version);
    }
    // A last row without a key, so that the snapshot of an empty table has content, too.
    rows.add_rows()->set_version(snapshot.version);
    PackedSnapshot packed { std::move(table), snapshot.version, snapshot.last_change,
        compress(rows.SerializeAsString(), CompressionEffort::Fast), 0 };
    packed.checksum = checksum_of(packed.bytes);
    return packed;
}

Result<Platform::TableSnapshot> unpack_snapshot(PackedSnapshot const& packed)
{
    auto const invalid
        = Error { ErrorKind::InvalidRequest, "the snapshot of " + packed.table + " is damaged; fetching it again", {} };
    if (checksum_of(packed.bytes) != packed.checksum)
        return invalid;
    TRY(auto bytes, decompress(packed.bytes, max_unpacked_bytes));
    wire::TableRows rows;
    bool const is_whole = rows.ParseFromString(bytes) && rows.rows_size() > 0
        && rows.rows(rows.rows_size() - 1).version() == packed.version;
    if (!is_whole)
        return invalid;
    rows.mutable_rows()->RemoveLast();
    Platform::TableSnapshot snapshot { {}, packed.version, packed.last_change };
    for (auto& row : *rows.mutable_rows())
        snapshot.rows.push_back({ std::move(*row.mutable_key()), std::move(*row.mutable_value()), row.version() });
    return snapshot;
}

SnapshotAssembly::Result SnapshotAssembly::add(wire::SnapshotChunk const& chunk)
{
    bool const is_sound = chunk.count() > 0 && chunk.count() <= PackedSnapshot::max_chunk_count
        && chunk.number() < chunk.count() && !chunk.bytes().empty()
        && chunk.bytes().size() <= PackedSnapshot::chunk_bytes;
    if (!is_sound)
        return Result::Ignored;
    auto const& known = this->header;
    bool const is_same = !this->is_empty() && chunk.version() == known.version && chunk.checksum() == known.checksum
        && chunk.count() == this->chunks.size();
    if (!is_same && !this->is_empty() && chunk.version() <= known.version)
        return Result::Ignored;
    auto result = Result::Added;
    if (!is_same) {
        result = this->is_empty() ? Result::Added : Result::Restarted;
        this->header = { chunk.table(), chunk.version(), chunk.last_change(), {}, chunk.checksum() };
        this->chunks.assign(chunk.count(), {});
        this->missing = chunk.count();
    }
    auto& bytes = this->chunks[chunk.number()];
    if (!bytes.empty())
        return Result::Ignored;
    bytes = chunk.bytes();
    --this->missing;
    return result;
}

std::vector<u32> SnapshotAssembly::missing_chunks(u32 from, size_t count) const
{
    std::vector<u32> numbers;
    auto const size = static_cast<u32>(this->chunks.size());
    for (u32 i = 0; i < size && numbers.size() < count; ++i) {
        auto const number = (from + i) % size;
        if (this->chunks[number].empty())
            numbers.push_back(number);
    }
    return numbers;
}

PackedSnapshot SnapshotAssembly::take()
{
    VERIFY(this->is_complete());
    for (auto const& bytes : this->chunks)
        this->header.bytes += bytes;
    this->chunks.clear();
    return std::exchange(this->header, {});
}

}
