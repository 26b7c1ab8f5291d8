/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServerLimits.h>
#include <algorithm>
#include <xxhash.h>

namespace Serving {

/// Requests may arrive closer together than they were sent. The time that a connection may take to be established is
/// therefore added to the window in which they count.
static constexpr Duration max_delivery_delay = 400ms;
/// The window in which a cold server can handle the configured number of requests.
static constexpr Duration cold_start_window = 1s;
/// A host that joins has no share during its first window, so refreshing after half of the shortest window is soon
/// enough.
static constexpr Duration share_lifetime = 500ms;

/// A server that receives no requests cannot withdraw its limit. If the limit is not renewed for this long, it expires,
/// and the server receives requests like any other. The lifetime differs between hosts, so that one host tries the
/// server before the others.
static constexpr Duration min_limit_lifetime = 20s;
static constexpr Duration max_limit_lifetime = 30s;

Duration ServerLimits::limit_lifetime_of(Address const& own_address)
{
    auto const& text = own_address.value();
    auto const spread = static_cast<u64>((max_limit_lifetime - min_limit_lifetime).count());
    return min_limit_lifetime + Duration(XXH3_64bits(text.data(), text.size()) % spread);
}

u32 ServerLimits::requests_in_window(RequestRate limit)
{
    constexpr double max_requests = 1e9;
    // At least one request, which reveals the current limit.
    return static_cast<u32>(std::clamp(limit.value() * AK::to_seconds(rate_limit_window), 1.0, max_requests));
}

std::optional<ServerLimits::Bound> ServerLimits::rate_limit_bound(Backend const& backend, Instant now) const
{
    if (!backend.limit || now - *backend.limit_reported_at >= this->limit_lifetime)
        return {};
    return Bound { BoundReason::RateLimit, requests_in_window(*backend.limit), rate_limit_window + max_delivery_delay };
}

std::optional<ServerLimits::Bound> ServerLimits::cold_start_bound(Backend const& backend, Instant now) const
{
    if (now >= backend.cold_until || !this->routing)
        return {};
    auto const* service = this->routing->find_service(backend.server.service);
    if (!service || service->cold_requests_per_second <= 0)
        return {};
    auto const requests = static_cast<u32>(std::max(1.0, service->cold_requests_per_second));
    return Bound { BoundReason::ColdStart, requests, cold_start_window + max_delivery_delay };
}

u32 ServerLimits::own_share(Backend const& backend, Bound const& bound, Instant now) const
{
    std::erase_if(this->shares, [now](auto const& entry) { return now - entry.second.computed_at >= share_lifetime; });
    auto const& server = backend.server;
    auto& share = this->shares[{ server.id, server.start, bound.reason }];
    if (share.total != bound.requests) {
        auto const subject = server.id.value() + '/' + std::to_string(server.start.value());
        auto const units
            = this->reachability.share_of(bound.requests, this->own_address, subject, server.failure_domain, now);
        share = { bound.requests, units, now };
    }
    return share.units;
}

bool ServerLimits::is_within(std::optional<Bound> const& bound, Backend const& backend, Instant now) const
{
    if (!bound)
        return true;
    // The requests of this host's previous process count as well. They have left the window by then.
    if (this->reachability.fleet_known_for(now).value_or(Duration(0)) < bound->window)
        return false;
    return backend.sent.upper_bound_within(bound->window, now) < this->own_share(backend, *bound, now);
}

bool ServerLimits::may_send(Backend const& backend, Instant now) const
{
    return this->is_within(this->cold_start_bound(backend, now), backend, now)
        && this->is_within(this->rate_limit_bound(backend, now), backend, now);
}

void ServerLimits::record_sent(Backend& backend, Instant now)
{
    // Recorded even without a limit, since requests sent before the limit became known count as well.
    backend.sent.add(now, rate_limit_window + max_delivery_delay);
}

}
