/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <string>

namespace Serving {

std::string compress(std::string const&);
/// Errors: InvalidRequest if the bytes are not compressed data, or hold more than `max_bytes`.
Result<std::string> decompress(std::string const&, size_t max_bytes);

}
