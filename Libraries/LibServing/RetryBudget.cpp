/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RetryBudget.h>
#include <algorithm>
#include <cmath>

namespace Serving {

/// Maximum time from the decision to repeat until the backend server receives the request. If the first packet of a new
/// connection is lost, it is retransmitted after a second.
static constexpr Duration max_delivery_time = 1s;
/// One repeat, which five requests earn at the default ratio. A host that has just started does not know how many hosts
/// save one as well. One repeat is within the share of each host as long as the allowance has a repeat for every host.
static constexpr double max_saved_without_share = 1;

void RetryBudget::set_limits(Limits changed)
{
    if (changed.window != this->limits.window)
        this->sharing_hosts.reset();
    this->limits = changed;
}

void RetryBudget::set_sharing_hosts(std::optional<u32> hosts, Instant now)
{
    if (hosts && !this->sharing_hosts)
        this->known_since = now;
    this->sharing_hosts = hosts;
}

Duration RetryBudget::accounting_window() const { return this->limits.window + max_delivery_time; }

RetryBudget::Share RetryBudget::share_at(Instant now) const
{
    bool const has_share = this->sharing_hosts && now - this->known_since >= this->accounting_window();
    if (!has_share)
        return { 0, max_saved_without_share, 0 };
    auto const hosts = std::max({ 1U, this->limits.hosts, *this->sharing_hosts });
    auto const share = this->limits.allowance / hosts;
    // The saved amount is the fractional part of the share plus one repeat, since less than one repeat could never be
    // spent. A share of less than one repeat is therefore worth nothing.
    auto const whole = std::max(1.0, std::floor(share));
    return { hosts, std::min(share, share - whole + 1), static_cast<u32>(whole) - 1 };
}

void RetryBudget::record_request(ServiceName const& service, Instant now)
{
    auto& earned = this->accounts[service].earned;
    earned = std::min(earned + this->limits.ratio, this->share_at(now).max_saved);
}

RetryBudget::Decision RetryBudget::take(ServiceName const& service, Instant now)
{
    auto& account = this->accounts[service];
    auto const share = this->share_at(now);
    account.earned = std::min(account.earned, share.max_saved);
    auto const spent = account.spent_allowance.upper_bound_within(this->accounting_window(), now);
    auto const of_allowance = share.in_window - std::min(share.in_window, spent);
    auto const left = std::floor(account.earned) + of_allowance;
    if (left < 1)
        return { false, left, share.hosts };
    // Earned repeats are spent first, since further requests replenish them.
    if (account.earned >= 1)
        account.earned -= 1;
    else
        account.spent_allowance.add(now, this->accounting_window());
    return { true, left - 1, share.hosts };
}

}
