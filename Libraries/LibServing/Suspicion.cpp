/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Suspicion.h>
#include <algorithm>

namespace Serving {

/// Upper bound for an avoidance announced by another host, equal to the longest avoidance that a host decides by
/// itself.
static constexpr Duration max_announced_avoidance = 2s;

void suspect(ServingContext& context, Backend& backend, Failure const& failure)
{
    auto avoidance = record_failure(backend, context.now(), failure.is_unreachable);
    if (failure.is_unreachable)
        record_failed_connection(context, backend);
    if (avoidance == 0s)
        return;
    context.log.event(Core::EventNumber::BackendServerSuspected, backend.server.id.value())
        .with("request", failure.request)
        .with("avoided_ms", avoidance)
        .with("failures_in_a_row", backend.health.consecutive_failures)
        .with("reason", failure.reason);
    if (failure.is_unreachable)
        context.backend_unreachable(backend, avoidance);
}

bool is_own_delay(ServingContext const& context, Http::ExchangeEnd end)
{
    return end == Http::ExchangeEnd::ConnectTimedOut && context.host_load.delays_connections(context.now());
}

void apply_suspicions(ServingContext& context, MemberId const& host, wire::HostUse const& message)
{
    auto now = context.now();
    for (auto const& entry : message.unreachable()) {
        auto backend = context.backends.find(EngineId(entry.backend()));
        if (!backend || !backend->matches_start(ServerStart(entry.start())))
            continue;
        bool const was_avoided = backend->is_avoided(now);
        auto avoidance
            = std::min<Duration>(std::chrono::milliseconds(entry.avoided_milliseconds()), max_announced_avoidance);
        backend->health.peer_avoidance[host] = now + avoidance;
        if (was_avoided || !backend->is_avoided(now))
            continue;
        context.log.event(Core::EventNumber::BackendServerSuspected, entry.backend())
            .with("avoided_ms", avoidance)
            .with("reason", "other hosts cannot connect to it");
    }
}

}
