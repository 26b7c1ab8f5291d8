/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/CapacityRequest.h>
#include <algorithm>

namespace Serving {

/// Prompt tokens that an engine reads per second while it also decodes other generations.
static constexpr double shared_reading_tokens_per_second = idle_prefill_tokens_per_second / 2;

CapacityRequest::CapacityRequest(ServingContext& context, AdmittedCall const& call)
    : context(context)
    , call(call)
{
}

ServiceDemand& CapacityRequest::demand() const { return this->context.demands.of(this->call.service->name); }

u32 CapacityRequest::rank() const
{
    constexpr u32 priorities = 10;
    return this->call.priority * priorities + std::min(this->call.route->priority, priorities - 1);
}

TokenCount CapacityRequest::needed_tokens() const
{
    return TokenCount(this->need.prompt.value() + this->need.expected_output.value());
}

double CapacityRequest::use_of_share() const
{
    return this->demand().shares.use_of_share(this->call.organisation, this->context.now());
}

Duration CapacityRequest::shortage_age() const { return this->demand().shortage.age(this->context.now()); }

void CapacityRequest::begin(GenerationNeed const& needed)
{
    this->need = needed;
    this->returned = take_return(this->context, this->call.head.attempt, this->call.fingerprint);
    this->demand().kinds.record(
        this->rank(), this->call.route->latency_goal, needed.prompt, needed.expected_output, this->context.now());
}

bool CapacityRequest::is_limited() const
{
    return this->call.routing->has_patient_less_urgent_routes(this->call.service->name);
}

CapacityLimits CapacityRequest::limits() const
{
    if (!this->is_limited())
        return {};
    return capacity_limits(this->demand(), this->rank(), this->call.organisation, this->context.now());
}

void CapacityRequest::record_decision(Admission const& decision)
{
    // An engine that has failed this generation may still have capacity for others.
    bool const lacks_capacity = decision.verdict == AdmissionVerdict::NoCapacity && decision.with_capacity == 0;
    bool const lacks_capacity_for_urgent
        = decision.verdict == AdmissionVerdict::Admit && !decision.has_capacity_for_most_urgent;
    if (lacks_capacity || lacks_capacity_for_urgent)
        record_shortage_sign(this->context, this->call.service->name, this->call.priority);
    if (lacks_capacity && !std::exchange(this->has_lacked, true))
        this->record_lacking();
}

void CapacityRequest::record_lacking()
{
    if (this->has_organisation())
        this->demand().shares.record_lacking(this->call.organisation, this->needed_tokens(), this->context.now());
}

bool CapacityRequest::is_behind_others() const
{
    return !this->is_waiting() && this->demand().has_waiting_before(this->rank());
}

bool CapacityRequest::wait(Look look)
{
    if (this->is_waiting())
        return true;
    auto const now = this->context.now();
    auto& service_demand = this->demand();
    if (!this->is_limited() || this->has_waited || this->context.is_leaving() || !may_wait(service_demand, now))
        return false;
    auto const reading_time
        = AK::from_seconds(static_cast<double>(this->need.prompt.value()) / shared_reading_tokens_per_second);
    auto const bounds
        = Overload::wait_bounds(this->received_at(), this->call.route->latency_goal, this->call.deadline, reading_time);
    if (bounds.useful_until <= now)
        return false;
    this->has_waited = true;
    auto const share = this->use_of_share();
    bool const came_back_as_told = this->returned.arrival == Overload::ReturningCallers::Arrival::AsTold;
    auto const body_bytes = this->call.exchange->request().body().size();
    this->waiting_as
        = service_demand.add_waiting({ this->rank(), came_back_as_told, share, bounds, body_bytes }, std::move(look));
    if (!this->waiting_as)
        return false;
    this->waits_since = now;
    this->log_wait(bounds, share);
    return true;
}

void CapacityRequest::log_wait(Overload::WaitBounds const& bounds, double share) const
{
    this->context.log.event(Core::EventNumber::GenerationWaits, this->call.head.attempt)
        .with("priority", this->call.priority)
        .with("route_priority", this->call.route->priority)
        .with("use_of_share", share)
        .with("waiting", this->demand().waiting())
        .with("shortage_age_ms", this->shortage_age())
        .with("longest_ms", bounds.useful_until - this->context.now());
}

void CapacityRequest::leave_waiting_list()
{
    if (auto const id = std::exchange(this->waiting_as, {}))
        this->demand().remove_waiting(*id);
}

void CapacityRequest::stop_waiting(std::string_view how)
{
    this->leave_waiting_list();
    if (this->waits_since == Instant {})
        return;
    auto const waited = this->context.now() - std::exchange(this->waits_since, Instant {});
    this->context.metrics.add("generations_waited_total{how=\"" + std::string(how) + "\"}");
    this->context.metrics.observe("generation_wait_seconds", waited);
    this->context.log.event(Core::EventNumber::GenerationWaited, this->call.head.attempt)
        .with("how", how)
        .with("waited_ms", waited);
}

void CapacityRequest::record_placed(bool is_first)
{
    this->stop_waiting("placed");
    auto const now = this->context.now();
    this->context.return_plans[this->call.service->name].record_admitted(this->needed_tokens().value(), now);
    if (!is_first)
        return;
    count_return(this->context, this->returned, true);
    if (this->has_organisation())
        this->demand().shares.record_placed(this->call.organisation, this->needed_tokens(), now);
}

void CapacityRequest::record_ended(i64 held_tokens, Duration ran_for)
{
    this->context.return_plans[this->call.service->name].record_ended(
        { held_tokens, this->need.prompt.value(), ran_for }, this->context.now());
}

Duration CapacityRequest::return_time(ChoiceInputs const& inputs)
{
    count_return(this->context, this->returned, false);
    auto const now = this->context.now();
    auto const first_event_due_in = this->call.route->latency_goal - (now - this->received_at());
    return plan_return(this->context,
        { this->call.head.attempt, this->call.service->name, this->call.fingerprint, this->need, first_event_due_in,
            this->call.deadline - now },
        inputs);
}

}
