/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Reach.h>
#include <LibServing/RetryBudget.h>

namespace Serving {

/// Tells the budget how many hosts share the allowance, by what this host knows of the others.
inline void share_allowance(RetryBudget& budget, Reach const& reach, Instant now)
{
    budget.set_sharing_hosts(reach.fleet_size(now), now);
}

}
