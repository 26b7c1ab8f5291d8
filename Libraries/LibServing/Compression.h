/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Types.h>
#include <string>

namespace Serving {

enum class CompressionEffort : u8 {
    /// For large tables, which a slow host compresses while it serves callers.
    Fast,
    Usual,
};

std::string compress(std::string const&, CompressionEffort = CompressionEffort::Usual);
/// Errors: InvalidRequest if the bytes are not compressed data, or hold more than `max_bytes`.
Result<std::string> decompress(std::string const&, size_t max_bytes);

}
