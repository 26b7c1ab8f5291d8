/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <LibWire/Messages.h>

/// When callers return that were refused for lack of capacity. The decisions are in Overload::ReturnPlan.
namespace Serving {

/// A generation that no engine has capacity for.
struct GenerationWithoutCapacity {
    std::string attempt;
    ServiceName service;
    RequestFingerprint fingerprint;
    GenerationNeed need;
    Duration first_event_due_in { 0 };
    Duration time_left { 0 };
};

/// Decides when its caller should return, records and logs it.
Duration plan_return(ServingContext&, GenerationWithoutCapacity const&, ChoiceInputs const&);

/// Looks up whether this host asked the caller of a request to return, and removes the record. To be called once for
/// each request.
Overload::ReturningCallers::Return take_return(
    ServingContext&, std::string const& attempt, RequestFingerprint const& request);

/// Counts how a returned caller fared.
void count_return(ServingContext&, Overload::ReturningCallers::Return const&, bool is_served);

/// Adds the changed promises of this host to a message for its failure domain. Returns whether there were any.
bool put_changed_returns(wire::HostUse&, ServingContext&);
void apply_returns(ServingContext&, MemberId const& sender, wire::HostUse const&);

}
