/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Compression.h>
#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace Serving {

static constexpr size_t decompression_step_bytes = 16 << 10;

std::string compress(std::string const& bytes, CompressionEffort effort)
{
    constexpr int fastest = 1;
    constexpr int usual = -1;
    std::ostringstream compressed;
    Poco::DeflatingOutputStream stream(
        compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, effort == CompressionEffort::Fast ? fastest : usual);
    stream << bytes;
    stream.close();
    return compressed.str();
}

Result<std::string> decompress(std::string const& bytes, size_t max_bytes)
{
    std::istringstream compressed(bytes);
    Poco::InflatingInputStream stream(compressed, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string result;
    std::array<char, decompression_step_bytes> step {};
    while (stream && result.size() <= max_bytes) {
        stream.read(step.data(), step.size());
        result.append(step.data(), static_cast<size_t>(stream.gcount()));
    }
    // Invalid compressed data sets the stream's bad bit; data over the limit has not been read to its end.
    if (stream.bad() || !stream.eof())
        return Error { ErrorKind::InvalidRequest, "the rows cannot be decompressed; reading them from the platform",
            {} };
    return result;
}

}
