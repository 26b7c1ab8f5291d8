/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/PlannedStop.h>

namespace Serving {

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
    this->context.stop_begun_at = this->context.now();
    this->callers_context.closing = true;
    this->context.log.event(Core::EventNumber::ProcessLeaving, this->context.settings.host.value())
        .with("open_requests", this->callers_context.open_requests);
    this->check();
}

void PlannedStop::check()
{
    auto const now = this->context.now();
    auto const schedule = *this->context.stop_schedule();
    // A connection accepted just before accepting stopped is counted by the next check.
    bool const had_stopped_accepting = !this->callers.is_accepting();
    if (schedule.must_stop_accepting_connections(now)) {
        this->callers.stop_accepting();
        this->callers.close_idle_connections(Http::CloseReason::PlannedStop);
    }
    if (now >= schedule.responses_due())
        this->respond_to_remaining_requests();
    bool const is_drained = had_stopped_accepting && this->callers.open_connections() == 0;
    if (is_drained || now >= schedule.process_ends())
        return this->finish();
    this->timer.expires_after(check_period);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->check();
    });
}

void PlannedStop::respond_to_remaining_requests()
{
    this->context.open_requests.end_all();
    this->callers.reject_incomplete_requests();
}

void PlannedStop::finish()
{
    this->context.log.event(Core::EventNumber::ProcessStopped, this->context.settings.host.value())
        .with("open_requests", this->callers_context.open_requests);
    this->context.log.flush();
    this->on_end();
}

}
