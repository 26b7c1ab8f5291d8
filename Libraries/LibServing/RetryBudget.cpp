/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RetryBudget.h>
#include <algorithm>

namespace Serving {

/// Part of the allowance that is spent as a burst; the rest comes back over the window, so that no span of a window's
/// length sees more than the whole.
static constexpr double burst_share = 0.5;

u32 RetryBudget::sharing_hosts() const { return std::max({ 1U, this->limits.hosts, this->known_hosts }); }

double RetryBudget::allowance_of_this_host() const { return this->limits.allowance / this->sharing_hosts(); }

RetryBudget::Account& RetryBudget::refilled(ServiceName const& service, Instant now)
{
    auto burst = this->allowance_of_this_host() * burst_share;
    auto [found, is_new] = this->accounts.try_emplace(service, Account { burst, now });
    auto& account = found->second;
    auto per_second = this->allowance_of_this_host() * (1 - burst_share) / AK::to_seconds(this->limits.window);
    auto gained = per_second * AK::to_seconds(now - account.last_refill);
    account.last_refill = now;
    account.available = std::min(account.available + gained, std::max(burst, account.available));
    return account;
}

void RetryBudget::note_request(ServiceName const& service, Instant now)
{
    auto& account = this->refilled(service, now);
    // What requests have earned may not pile up beyond what a window could earn at the usual pace; but it adds up to
    // one dispatch, however small a part of the allowance each of many hosts has.
    auto most = std::max(1.0, this->allowance_of_this_host() * (burst_share + 1));
    account.available = std::min(account.available + this->limits.ratio, std::max(most, account.available));
}

RetryBudget::Decision RetryBudget::take(ServiceName const& service, Instant now)
{
    auto& account = this->refilled(service, now);
    bool const is_granted = account.available >= 1;
    if (is_granted)
        account.available -= 1;
    return { is_granted, account.available, this->sharing_hosts() };
}

}
