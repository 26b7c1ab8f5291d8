/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <LibWire/Messages.h>
#include <deque>
#include <vector>

namespace Serving {

/// A log of the latest updates of one platform table, kept for hosts that have missed some of them. Each update that a
/// host requests from another host saves a request to the platform.
class TableUpdateLog {
public:
    /// Holds the updates of several seconds when a sixth of 130 backend servers is replaced every three seconds.
    static constexpr size_t max_kept = 64;

    void add(wire::PlatformNews);
    /// The updates after `version`, in order; empty if they are no longer logged or there is a gap between them.
    [[nodiscard]] std::vector<wire::PlatformNews> since(u64 version) const;

private:
    std::deque<wire::PlatformNews> updates;
};

}
