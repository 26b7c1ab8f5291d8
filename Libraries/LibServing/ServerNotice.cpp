/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ServerNotice.h>
#include <algorithm>

namespace Serving {

/// Smaller extensions of a back-off are not logged individually.
static constexpr Duration min_logged_extension = 100ms;

static void back_off(ServingContext& context, Backend& backend, Duration requested)
{
    auto const until = context.now() + std::min(requested, context.settings.max_back_off);
    if (until <= backend.back_off_until)
        return;
    bool const is_logged = until - backend.back_off_until >= min_logged_extension;
    backend.back_off_until = until;
    if (is_logged)
        context.log.event(Core::EventNumber::ServerRequestedBackOff, backend.server.id.value())
            .with("asked_ms", requested)
            .with("back_off_ms", backend.back_off_left(context.now()));
}

static void record_leaving(ServingContext& context, Backend& backend)
{
    if (backend.has_announced_leaving)
        return;
    context.log.event(Core::EventNumber::ServerAnnouncedLeaving, backend.server.id.value())
        .with("state", to_string(backend.availability))
        .with("own_generations", backend.engine.own_generations);
    // If the platform's list already says that the server leaves, the other hosts know it as well.
    if (backend.availability == Availability::Serving)
        context.backend_leaves(backend);
    backend.record_leaving();
}

static void apply(ServingContext& context, Backend& backend, BackendResponseHead const& head)
{
    if (head.back_off_for)
        back_off(context, backend, *head.back_off_for);
    if (head.is_leaving)
        record_leaving(context, backend);
}

void apply_server_notice(ServingContext& context, Backend& backend, BackendResponseHead const& head)
{
    // The response comes from another process at the same address.
    if (head.is_misdirected)
        return;
    apply(context, backend, head);
    // The entry may have been removed and added again since the request was sent.
    auto const listed = context.backends.find(backend.server.id);
    if (!listed)
        return context.backends.keep_reported_state(backend, context.now());
    if (listed.get() != &backend && listed->matches_start(backend.server.start))
        apply(context, *listed, head);
}

}
