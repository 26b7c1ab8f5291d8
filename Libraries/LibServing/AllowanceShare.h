/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Reachability.h>
#include <LibServing/RetryBudget.h>

namespace Serving {

/// Passes the number of known hosts to the budget, which divides the allowance among them, and the whole repeats of it
/// that are dealt to this host.
inline void share_allowance(
    RetryBudget& budget, Reachability const& reachability, Address const& own_address, Instant now)
{
    constexpr std::string_view subject = "repeats";
    budget.set_sharing_hosts(reachability.fleet_size(now), now);
    budget.set_dealt_repeats(
        reachability.share_of(budget.whole_allowance(), own_address, subject, FailureDomainId(), now), now);
}

}
