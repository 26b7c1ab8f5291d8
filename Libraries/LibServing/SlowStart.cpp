/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/SlowStart.h>
#include <algorithm>

namespace Serving {

/// The bound is on what arrives within a second. Requests may arrive closer together than they were sent: the time that
/// a connection may take to come up is part of the span in which they count.
static constexpr Duration counted_span = 1400ms;
/// Hosts that join have no part in their first second, so half of it is soon enough.
static constexpr Duration part_lifetime = 500ms;

std::optional<u32> SlowStart::bearable_per_second(Backend const& backend, Instant now) const
{
    if (now >= backend.cold_until || !this->routing)
        return {};
    auto const* service = this->routing->find_service(backend.server.service);
    if (!service || service->cold_requests_per_second <= 0)
        return {};
    return static_cast<u32>(std::max(1.0, service->cold_requests_per_second));
}

u32 SlowStart::own_part(Backend const& backend, u32 whole, Instant now) const
{
    std::erase_if(this->parts, [now](auto const& entry) { return now - entry.second.worked_out_at >= part_lifetime; });
    auto const& server = backend.server;
    auto [known, is_new] = this->parts.try_emplace({ server.id, server.start });
    if (is_new) {
        auto const subject = server.id.value() + '/' + std::to_string(server.start.value());
        auto const part = this->reach.part_of(whole, this->own_address, subject, server.failure_domain, now);
        known->second = { part, now };
    }
    return known->second.units;
}

bool SlowStart::may_send(Backend const& backend, Instant now) const
{
    auto const whole = this->bearable_per_second(backend, now);
    if (!whole)
        return true;
    // What this host's former process sent counts as well, and it has left the span by then.
    if (this->reach.fleet_known_for(now).value_or(Duration(0)) < counted_span)
        return false;
    auto const sent = backend.sent_while_cold ? backend.sent_while_cold->at_most_within(counted_span, now) : 0;
    return sent < this->own_part(backend, *whole, now);
}

void SlowStart::note_sent(Backend& backend, Instant now) const
{
    if (!this->bearable_per_second(backend, now))
        return;
    if (!backend.sent_while_cold)
        backend.sent_while_cold.emplace();
    backend.sent_while_cold->add(now, counted_span);
}

}
