/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Reachability.h>
#include <LibServing/RetryBudget.h>

namespace Serving {

/// Passes the number of known hosts to the budget, which divides the allowance among them.
inline void share_allowance(RetryBudget& budget, Reachability const& reachability, Instant now)
{
    budget.set_sharing_hosts(reachability.fleet_size(now), now);
}

}
