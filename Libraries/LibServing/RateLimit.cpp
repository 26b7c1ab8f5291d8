/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RateLimit.h>
#include <cmath>

namespace Serving {

/// If a datagram is lost, the limit is announced again with the next full state messages. The value covers three of
/// them at the slowest rate.
static constexpr Duration reannounced_for = 3s;
/// Each takes 40 bytes.
static constexpr size_t max_limits_per_message = 16;
/// If a server advertises another limit with each response, the hosts exchange no more messages about it than one per
/// interval. Full state messages carry the remaining changes.
static constexpr Duration min_announcement_interval = 250ms;

static void log_limit(ServingContext& context, Backend const& backend)
{
    auto line = context.log.event(Core::EventNumber::ServerLimitChanged, backend.server.id.value());
    if (backend.limit)
        std::move(line).with("per_second", *backend.limit);
    else
        std::move(line).with("per_second", "none");
}

void record_rate_limit(ServingContext& context, Backend& backend, std::optional<RequestRate> limit)
{
    if (!limit && !backend.limit)
        return;
    auto const now = context.now();
    bool const has_changed = backend.limit != limit;
    backend.limit = limit;
    backend.limit_reported_at = now;
    context.limit_reported_at = now;
    backend.limit_is_first_hand = true;
    if (!has_changed || now - backend.limit_announced_at < min_announcement_interval)
        return;
    backend.limit_announced_at = now;
    log_limit(context, backend);
    context.limit_changed(backend);
}

void apply_rate_limits(ServingContext& context, wire::HostUse const& message)
{
    for (auto const& entry : message.limits()) {
        auto backend = context.backends.find(EngineId(entry.backend()));
        if (!backend || !backend->matches_start(ServerStart(entry.start()))
            || !std::isfinite(entry.requests_per_second()))
            continue;
        auto const reported_at = context.now() - std::chrono::milliseconds(entry.age_milliseconds());
        if (backend->limit_reported_at && *backend->limit_reported_at >= reported_at)
            continue;
        std::optional<RequestRate> limit;
        if (entry.requests_per_second() >= 0)
            limit = RequestRate(entry.requests_per_second());
        bool const has_changed = backend->limit != limit;
        backend->limit = limit;
        backend->limit_reported_at = reported_at;
        context.limit_reported_at = std::max(context.limit_reported_at, reported_at);
        backend->limit_is_first_hand = false;
        if (has_changed)
            log_limit(context, *backend);
    }
}

void put_rate_limit(wire::HostUse& message, ServingContext const& context, Backend const& backend)
{
    constexpr double no_limit = -1;
    auto& entry = *message.add_limits();
    entry.set_backend(backend.server.id.value());
    entry.set_start(backend.server.start.value());
    entry.set_requests_per_second(backend.limit.value_or(RequestRate(no_limit)).value());
    auto const now = context.now();
    auto const age = now - backend.limit_reported_at.value_or(now);
    entry.set_age_milliseconds(static_cast<u32>(AK::to_milliseconds(age)));
}

void put_recent_rate_limits(wire::HostUse& message, ServingContext const& context, LimitScope scope)
{
    if (context.now() - context.limit_reported_at >= reannounced_for)
        return;
    size_t count = 0;
    for (auto const& [id, backend] : context.backends.all()) {
        bool const is_recent
            = backend->limit_reported_at && context.now() - *backend->limit_reported_at < reannounced_for;
        bool const is_in_scope = scope == LimitScope::All || backend->limit_is_first_hand;
        if (is_recent && is_in_scope && count++ < max_limits_per_message)
            put_rate_limit(message, context, *backend);
    }
}

}
