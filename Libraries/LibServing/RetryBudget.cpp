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
/// With a smaller share of the allowance for each host, its repeats are dealt out whole.
static constexpr double min_divided_share = 2;

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

void RetryBudget::set_dealt_repeats(u32 now_dealt, Instant now)
{
    if (now - this->dealt_since >= this->accounting_window())
        this->counted_dealt = this->dealt;
    if (now_dealt == this->dealt)
        return;
    this->counted_dealt = std::min(this->counted_dealt, now_dealt);
    this->dealt = now_dealt;
    this->dealt_since = now;
}

RetryBudget::Share RetryBudget::share_at(Account const& account, Instant now) const
{
    bool const has_share = this->sharing_hosts && now - this->known_since >= this->accounting_window();
    if (!has_share)
        return { 0, max_saved_without_share, 0 };
    auto const hosts = std::max({ 1U, this->limits.hosts, *this->sharing_hosts });
    auto const share = this->limits.allowance / hosts;
    if (share < min_divided_share)
        return this->dealt_share_at(account, hosts, now);
    // The saved amount is the fractional part of the share plus one repeat, since less than one repeat could never be
    // spent.
    auto const whole = std::floor(share);
    return { hosts, share - whole + 1, static_cast<u32>(whole) - 1 };
}

RetryBudget::Share RetryBudget::dealt_share_at(Account const& account, u32 hosts, Instant now) const
{
    auto const window = this->accounting_window();
    auto const requests = account.requests.upper_bound_within(window, now);
    bool const earns_more = static_cast<double>(requests) * this->limits.ratio >= 1;
    if (earns_more || this->counted_dealt == 0) {
        auto const saved = std::min(1U, this->counted_dealt);
        return { hosts, static_cast<double>(saved), this->counted_dealt - saved };
    }
    // What was saved before and spent may still be in the window.
    bool const may_spend = !account.earned_spent_at || now - *account.earned_spent_at >= window;
    return { hosts, 0, may_spend ? this->counted_dealt : 0 };
}

void RetryBudget::record_request(ServiceName const& service, Instant now)
{
    auto& account = this->accounts[service];
    account.requests.add(now, this->accounting_window());
    account.earned = std::min(account.earned + this->limits.ratio, this->share_at(account, now).max_saved);
}

void RetryBudget::withdraw_request(ServiceName const& service)
{
    auto& account = this->accounts[service];
    account.earned = std::max(0.0, account.earned - this->limits.ratio);
}

RetryBudget::Decision RetryBudget::take(ServiceName const& service, Instant now)
{
    auto& account = this->accounts[service];
    auto const share = this->share_at(account, now);
    account.earned = std::min(account.earned, share.max_saved);
    auto const spent = account.spent_allowance.upper_bound_within(this->accounting_window(), now);
    auto const of_allowance = share.in_window - std::min(share.in_window, spent);
    auto const left = std::floor(account.earned) + of_allowance;
    if (left < 1)
        return { false, left, share.hosts };
    // Earned repeats are spent first, since further requests replenish them.
    if (account.earned >= 1) {
        account.earned -= 1;
        account.earned_spent_at = now;
    } else {
        account.spent_allowance.add(now, this->accounting_window());
    }
    return { true, left - 1, share.hosts };
}

}
