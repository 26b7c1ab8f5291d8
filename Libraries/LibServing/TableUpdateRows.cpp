/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Compression.h>
#include <LibServing/TableUpdateRows.h>

namespace Serving {

/// Upper bound of the decompressed size of an update that is accepted. A row of the platform has some ten kilobytes.
static constexpr size_t max_unpacked_bytes = 4 << 20;

void put_rows(wire::PlatformNews& update, std::vector<Platform::RowChange> const& changes, size_t max_bytes)
{
    wire::TableRows rows;
    for (auto const& change : changes) {
        auto& row = *rows.add_rows();
        row.set_key(change.row.key);
        row.set_value(change.row.value);
        row.set_version(change.row.version);
        row.set_removed(change.removed);
    }
    auto packed = compress(rows.SerializeAsString());
    if (packed.size() > max_bytes)
        return;
    update.set_has_rows(true);
    update.set_packed_rows(std::move(packed));
}

Result<std::vector<Platform::RowChange>> rows_of(wire::PlatformNews const& update)
{
    std::vector<Platform::RowChange> changes;
    if (!update.has_rows())
        return changes;
    TRY(auto bytes, decompress(update.packed_rows(), max_unpacked_bytes));
    wire::TableRows rows;
    if (!rows.ParseFromString(bytes))
        return Error { ErrorKind::InvalidRequest, "the rows cannot be parsed; reading them from the platform", {} };
    for (auto const& row : rows.rows())
        changes.push_back({ { row.key(), row.value(), row.version() }, row.removed() });
    return changes;
}

}
