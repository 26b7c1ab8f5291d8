/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PlannedStop.h>

namespace Serving {

/// How long the balancer in front of the hosts may take to notice that one is not ready: two questions a second apart,
/// and their answers.
static constexpr Duration balancer_lag = 2500ms;
/// Left of the grace for the last answers to leave.
static constexpr Duration last_answers_margin = 300ms;
/// Between two looks at what is still open.
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
    this->began = this->context.now();
    this->context.leaving = true;
    this->callers_context.closing = true;
    this->context.log.event(Core::EventNumber::ProcessLeaving, this->context.settings.host.value())
        .with("open_requests", this->callers_context.open_requests);
    this->check();
}

void PlannedStop::check()
{
    auto const elapsed = this->context.now() - this->began;
    // A connection that was accepted as accepting stopped has its turn before the next look.
    bool const had_stopped_accepting = !this->callers.is_accepting();
    if (elapsed >= balancer_lag) {
        this->callers.stop_accepting();
        this->callers.close_idle_connections(Http::CloseReason::PlannedStop);
    }
    bool const is_drained = had_stopped_accepting && this->callers.open_connections() == 0;
    if (is_drained || elapsed >= this->context.settings.stop_grace - last_answers_margin)
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
