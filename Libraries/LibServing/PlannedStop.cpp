/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PlannedStop.h>

namespace Serving {

/// Time that the load balancer in front of the hosts may take to notice that a host is not ready: two health checks,
/// sent a second apart, and their responses.
static constexpr Duration load_balancer_delay = 2500ms;
/// Part of the grace period that is reserved for sending the last responses.
static constexpr Duration last_responses_margin = 300ms;
/// Interval between checks for open connections.
static constexpr Duration check_period = 50ms;

PlannedStop::PlannedStop(ServingContext& context, Http::CallerServer& callers, Http::CallerContext& callers_context,
    std::function<void()> on_end)
    : context(context)
    , callers(callers)
    , callers_context(callers_context)
    , on_end(std::move(on_end))
    , timer(context.loop)
{
}

void PlannedStop::begin()
{
    this->begun_at = this->context.now();
    this->context.leaving = true;
    this->callers_context.closing = true;
    this->context.log.event(Core::EventNumber::ProcessLeaving, this->context.settings.host.value())
        .with("open_requests", this->callers_context.open_requests);
    this->check();
}

void PlannedStop::check()
{
    auto const elapsed = this->context.now() - this->begun_at;
    // A connection accepted just before accepting stopped is counted by the next check.
    bool const had_stopped_accepting = !this->callers.is_accepting();
    if (elapsed >= load_balancer_delay) {
        this->callers.stop_accepting();
        this->callers.close_idle_connections(Http::CloseReason::PlannedStop);
    }
    bool const is_drained = had_stopped_accepting && this->callers.open_connections() == 0;
    if (is_drained || elapsed >= this->context.settings.stop_grace - last_responses_margin)
        return this->finish();
    this->timer.expires_after(check_period);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->check();
    });
}

void PlannedStop::finish()
{
    this->context.log.event(Core::EventNumber::ProcessStopped, this->context.settings.host.value())
        .with("open_requests", this->callers_context.open_requests);
    this->context.log.flush();
    this->on_end();
}

}
