/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TableUpdateRows.h>
#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace Serving {

/// Upper bound of the decompressed size of an update that is accepted. A row of the platform has some ten kilobytes.
static constexpr size_t max_unpacked_bytes = 4 << 20;
static constexpr size_t unpacking_step_bytes = 16 << 10;

static std::string deflated(std::string const& bytes)
{
    std::ostringstream packed;
    Poco::DeflatingOutputStream stream(packed, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    stream << bytes;
    stream.close();
    return packed.str();
}

static Result<std::string> inflated(std::string const& bytes)
{
    std::istringstream packed(bytes);
    Poco::InflatingInputStream stream(packed, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string result;
    std::array<char, unpacking_step_bytes> step {};
    while (stream && result.size() <= max_unpacked_bytes) {
        stream.read(step.data(), step.size());
        result.append(step.data(), static_cast<size_t>(stream.gcount()));
    }
    // Invalid compressed data sets the stream's bad bit; data over the limit has not been read to its end.
    if (stream.bad() || !stream.eof())
        return Error { ErrorKind::InvalidRequest, "the rows cannot be decompressed; reading them from the platform",
            {} };
    return result;
}

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
    auto packed = deflated(rows.SerializeAsString());
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
    TRY(auto bytes, inflated(update.packed_rows()));
    wire::TableRows rows;
    if (!rows.ParseFromString(bytes))
        return Error { ErrorKind::InvalidRequest, "the rows cannot be parsed; reading them from the platform", {} };
    for (auto const& row : rows.rows())
        changes.push_back({ { row.key(), row.value(), row.version() }, row.removed() });
    return changes;
}

}
