/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RateLimit.h>
#include <cmath>

namespace Serving {

/// A datagram that is lost comes again with the next whole messages: three of the slowest.
static constexpr Duration told_again_for = 3s;
/// 40 bytes each.
static constexpr size_t most_told_at_once = 16;
/// A server that names another limit with each answer costs the hosts no more messages than these; whole ones tell the
/// rest.
static constexpr Duration shortest_time_between_words = 250ms;

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
    bool const is_news = backend.limit != limit;
    backend.limit = limit;
    backend.limit_heard_at = now;
    backend.limit_is_own_word = true;
    if (!is_news || now - backend.limit_told_at < shortest_time_between_words)
        return;
    backend.limit_told_at = now;
    log_limit(context, backend);
    context.limit_changed(backend);
}

void apply_rate_limits(ServingContext& context, wire::HostUse const& message)
{
    for (auto const& said : message.limits()) {
        auto backend = context.backends.find(EngineId(said.backend()));
        if (!backend || !backend->is_start(ServerStart(said.start())) || !std::isfinite(said.requests_per_second()))
            continue;
        auto const heard_at = context.now() - std::chrono::milliseconds(said.age_milliseconds());
        if (backend->limit_heard_at && *backend->limit_heard_at >= heard_at)
            continue;
        std::optional<RequestRate> limit;
        if (said.requests_per_second() >= 0)
            limit = RequestRate(said.requests_per_second());
        bool const is_news = backend->limit != limit;
        backend->limit = limit;
        backend->limit_heard_at = heard_at;
        backend->limit_is_own_word = false;
        if (is_news)
            log_limit(context, *backend);
    }
}

void put_rate_limit(wire::HostUse& message, ServingContext const& context, Backend const& backend)
{
    constexpr double no_limit = -1;
    auto& said = *message.add_limits();
    said.set_backend(backend.server.id.value());
    said.set_start(backend.server.start.value());
    said.set_requests_per_second(backend.limit.value_or(RequestRate(no_limit)).value());
    auto const age = context.now() - backend.limit_heard_at.value_or(context.now());
    said.set_age_milliseconds(static_cast<u32>(AK::to_milliseconds(age)));
}

void put_recent_rate_limits(wire::HostUse& message, ServingContext const& context, LimitScope scope)
{
    size_t told = 0;
    for (auto const& [id, backend] : context.backends.all()) {
        bool const is_recent = backend->limit_heard_at && context.now() - *backend->limit_heard_at < told_again_for;
        bool const is_meant = scope == LimitScope::All || backend->limit_is_own_word;
        if (is_recent && is_meant && told++ < most_told_at_once)
            put_rate_limit(message, context, *backend);
    }
}

}
