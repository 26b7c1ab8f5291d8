/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <LibWire/Messages.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Serving {

/// Splits an update that is too large for one datagram into several messages. A relay forwards each of them when it
/// arrives, so a large update holds no link for long.
std::vector<wire::PlatformNews> split_update(wire::PlatformNews const&);

/// Puts the parts of large updates together again.
class TableUpdateChunks {
public:
    /// Returns the complete update once all of its parts have arrived; an update of one part at once.
    std::optional<wire::PlatformNews> add(wire::PlatformNews const& part);

private:
    /// Parts of the oldest update are dropped if there are more. Lost updates are requested from other hosts.
    static constexpr size_t max_incomplete = 8;
    static constexpr u32 max_chunk_count = 64;

    struct Incomplete {
        std::vector<std::string> chunks;
        u32 missing { 0 };
    };
    std::map<std::pair<std::string, u64>, Incomplete> incomplete;
};

}
