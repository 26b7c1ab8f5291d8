/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Refusal.h>
#include <algorithm>

namespace Serving {

/// Avoidance after the first refusal; doubles with each further one. A backend server that is full only briefly has
/// capacity again within the time of a few requests.
static constexpr Duration first_avoidance = 250ms;
/// A backend server that keeps refusing is tried once per this time by one of all hosts. Each attempt costs its
/// request a further dispatch, but a backend server that accepts work again has to wait for the next attempt.
static constexpr Duration max_avoidance = 4s;

static Duration avoidance_after(u32 refusals)
{
    constexpr u32 max_doublings = 4;
    return std::min(max_avoidance, first_avoidance * (1 << std::min(refusals - 1, max_doublings)));
}

static void log_avoidance(
    ServingContext& context, Backend const& backend, std::string_view request, std::string_view reason)
{
    context.log.event(Core::EventNumber::BackendServerSuspected, backend.server.id.value())
        .with("request", request)
        .with("avoided_ms", backend.health.refusal_avoidance_until - context.now())
        .with("refusals_in_a_row", backend.health.consecutive_refusals)
        .with("reason", reason);
}

void record_refusal(ServingContext& context, Backend& backend, std::string const& request, std::string_view reason)
{
    auto& health = backend.health;
    // If all backend servers are avoided, they are tried anyway. A refusal during the avoidance is then expected, and
    // does not postpone the next attempt.
    if (context.now() < health.refusal_avoidance_until)
        return;
    ++health.consecutive_refusals;
    health.refusal_avoidance_until = context.now() + avoidance_after(health.consecutive_refusals);
    log_avoidance(context, backend, request, reason);
    context.backend_refuses(backend);
}

void apply_refusals(ServingContext& context, wire::HostUse const& message)
{
    for (auto const& entry : message.refusing()) {
        auto backend = context.backends.find(EngineId(entry.backend()));
        if (!backend || !backend->matches_start(ServerStart(entry.start())) || entry.refusals() == 0)
            continue;
        auto& health = backend->health;
        health.consecutive_refusals = std::max(health.consecutive_refusals, entry.refusals());
        health.refusal_avoidance_until
            = std::max(health.refusal_avoidance_until, context.now() + avoidance_after(entry.refusals()));
    }
}

}
