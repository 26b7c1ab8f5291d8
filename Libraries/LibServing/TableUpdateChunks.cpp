/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateChunks.h>
#include <algorithm>

namespace Serving {

/// Takes 100 ms for all receivers of a relay on a 10 Mbit/s link.
static constexpr size_t max_chunk_bytes = 16 << 10;

std::vector<wire::PlatformNews> split_update(wire::PlatformNews const& update)
{
    auto const& bytes = update.packed_rows();
    auto const count = (bytes.size() + max_chunk_bytes - 1) / max_chunk_bytes;
    if (count <= 1)
        return { update };
    auto header = update;
    header.clear_packed_rows();
    header.set_chunk_count(static_cast<u32>(count));
    std::vector<wire::PlatformNews> parts(count, header);
    for (size_t i = 0; i < count; ++i) {
        parts[i].set_chunk(static_cast<u32>(i));
        parts[i].set_packed_rows(bytes.substr(i * max_chunk_bytes, max_chunk_bytes));
    }
    return parts;
}

std::optional<wire::PlatformNews> TableUpdateChunks::add(wire::PlatformNews const& part)
{
    if (part.chunk_count() == 0)
        return part;
    bool const is_sound
        = part.chunk_count() <= max_chunk_count && part.chunk() < part.chunk_count() && !part.packed_rows().empty();
    if (!is_sound)
        return {};
    auto const key = std::pair(part.table(), part.version());
    auto& update = this->incomplete[key];
    if (update.chunks.size() != part.chunk_count())
        update = { std::vector<std::string>(part.chunk_count()), part.chunk_count() };
    auto& chunk = update.chunks[part.chunk()];
    if (chunk.empty()) {
        chunk = part.packed_rows();
        --update.missing;
    }
    if (update.missing > 0) {
        while (this->incomplete.size() > max_incomplete)
            this->incomplete.erase(this->incomplete.begin());
        return {};
    }
    auto complete = part;
    complete.clear_chunk();
    complete.clear_chunk_count();
    complete.clear_packed_rows();
    for (auto const& bytes : update.chunks)
        complete.mutable_packed_rows()->append(bytes);
    this->incomplete.erase(key);
    return complete;
}

}
