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

/// The latest changes of one table of the platform as hosts tell them, kept for hosts that have missed some: each that
/// asks another host saves a call of the platform.
class TableUpdateLog {
public:
    /// Changes of some seconds when a sixth of 130 backend servers is replaced every three seconds.
    static constexpr size_t max_kept = 64;

    void add(wire::PlatformNews);
    /// What follows `version` without a gap, in order; nothing when that is not kept any more.
    [[nodiscard]] std::vector<wire::PlatformNews> since(u64 version) const;

private:
    std::deque<wire::PlatformNews> updates;
};

}
