/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Overload/Returns.h>
#include <LibServing/Overload/ShortageMessages.h>
#include <LibServing/RequestFlow.h>

namespace Serving {

/// One generation's request for capacity at the engines of its service: what the host records of it for the decisions
/// in a shortage, its wait, and the time at which its caller should return if it is refused.
class CapacityRequest {
public:
    /// Called while the generation waits. `is_last`: it cannot wait any longer.
    using Look = ServiceDemand::Look;

    /// Keeps references to the arguments.
    CapacityRequest(ServingContext&, AdmittedCall const&);

    /// Records the generation when it is received. To be called before its first placement.
    void begin(GenerationNeed const&);
    /// What has to stay free for other generations if this one is placed.
    [[nodiscard]] CapacityLimits limits() const;
    /// Records what a decision shows of the shortage.
    void record_decision(Admission const&);
    /// Whether generations that go first wait for capacity at this host.
    [[nodiscard]] bool is_behind_others() const;
    [[nodiscard]] bool is_waiting() const { return this->waiting_as.has_value(); }
    /// Waits until an engine has capacity. Returns false if waiting is of no use to the caller, or too many wait.
    bool wait(Look);
    /// Ends the wait without a result, since it cannot last any longer.
    void leave_waiting_list();
    /// Ends and logs the wait, if there was one.
    void stop_waiting(std::string_view how);
    /// Records that an engine was chosen. `is_first`: for the first time.
    void record_placed(bool is_first);
    /// Records that the generation has ended at its engine.
    void record_ended(i64 held_tokens, Duration ran_for);
    /// When the caller should return, because no engine has capacity.
    [[nodiscard]] Duration return_time(ChoiceInputs const&);
    /// What its organisation has had, as a multiple of its fair share.
    [[nodiscard]] double use_of_share() const;
    /// Time since the beginning of the shortage; 0 without one.
    [[nodiscard]] Duration shortage_age() const;

private:
    /// The order in which generations get capacity in a shortage: the priority that applies to the call, which may be
    /// that of its organisation, and among equal ones the priority of its route.
    [[nodiscard]] u32 rank() const;
    /// Whether the priorities of the service's routes call for limits and waits in a shortage.
    [[nodiscard]] bool is_limited() const;
    [[nodiscard]] ServiceDemand& demand() const;
    [[nodiscard]] TokenCount needed_tokens() const;
    [[nodiscard]] bool has_organisation() const { return !this->call.organisation.value().empty(); }
    [[nodiscard]] Instant received_at() const { return this->call.exchange->received_at(); }
    void record_lacking();
    void log_wait(Overload::WaitBounds const&, double use_of_share) const;

    ServingContext& context;
    AdmittedCall const& call;
    GenerationNeed need;
    /// Whether this host asked the caller to return with this request.
    Overload::ReturningCallers::Return returned;
    /// Set while the generation waits.
    std::optional<Overload::WaiterId> waiting_as;
    Instant waits_since {};
    bool has_waited { false };
    bool has_lacked { false };
};

}
