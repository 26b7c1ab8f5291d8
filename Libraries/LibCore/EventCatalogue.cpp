/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibCore/EventCatalogue.h>
#include <algorithm>
#include <array>

namespace Core {

using enum EventNumber;
using enum Severity;

static constexpr auto catalogue = std::to_array<EventDescription>({
    { ProcessStarted, "process_started", Information },
    { ProcessReady, "process_ready", Information },
    { ProcessLeaving, "process_leaving", Information },
    { ProcessStopped, "process_stopped", Information },
    { SettingsReloaded, "settings_reloaded", Information },
    { LogLinesDropped, "log_lines_dropped", Warning },
    { SettingsRejected, "settings_rejected", Warning },
    { LoopStalled, "loop_stalled", Warning },
    { HostLoadReported, "host_load", Information },
    { HandlerFailed, "handler_failed", Error },
    { MemberJoined, "member_joined", Information },
    { MemberLeaving, "member_leaving", Information },
    { MemberLost, "member_lost", Warning },
    { MemberReplaced, "member_replaced", Information },
    { FailureDomainSilent, "failure_domain_silent", Warning },
    { FailureDomainReachable, "failure_domain_heard", Information },
    { FailureDomainDoubtful, "failure_domain_doubtful", Warning },
    { FailureDomainDoubtEnded, "failure_domain_doubt_ended", Information },
    { ConnectionProbed, "connection_probed", Information },
    { RevisionInForce, "revision_in_force", Information },
    { ChangeAccepted, "change_accepted", Information },
    { ChangeRefused, "change_refused", Warning },
    { ConfigurationStale, "configuration_stale", Warning },
    { PlatformUnavailable, "platform_unavailable", Warning },
    { PlatformAvailable, "platform_available", Information },
    { TableListed, "table_listed", Information },
    { PlatformContentRejected, "platform_content_rejected", Error },
    { TableLoaded, "table_loaded", Information },
    { RequestReceived, "request_received", Information },
    { RequestRefused, "request_refused", Warning },
    { GenerationQueued, "generation_queued", Information },
    { GenerationPlaced, "generation_placed", Information },
    { GenerationRefused, "generation_refused", Warning },
    { GenerationFinished, "generation_finished", Information },
    { GenerationRebuilt, "generation_rebuilt", Information },
    { PlacementRepeated, "placement_repeated", Warning },
    { GenerationCopied, "generation_copied", Information },
    { GenerationMoved, "generation_moved", Information },
    { MoveFailed, "move_failed", Warning },
    { FirstTokenDelivered, "first_token_delivered", Information },
    { StreamResumed, "stream_resumed", Warning },
    { StreamEnded, "stream_ended", Information },
    { StreamFailed, "stream_failed", Error },
    { EngineSeen, "engine_seen", Information },
    { EngineLeaving, "engine_leaving", Information },
    { EngineSilent, "engine_silent", Warning },
    { OwnershipTaken, "ownership_taken", Information },
    { OwnershipGivenUp, "ownership_given_up", Information },
    { BackendServerChanged, "backend_server_changed", Information },
    { BackendServerGone, "backend_server_gone", Information },
    { BackendServerSuspected, "backend_server_suspected", Warning },
    { ServicesUnreachable, "services_out_of_reach", Warning },
    { DomainEvacuated, "domain_evacuated", Warning },
    { DomainEvacuationRevoked, "domain_evacuation_taken_back", Information },
    { BackendServerDisconnected, "backend_server_broke_off", Warning },
    { ServerLimitChanged, "server_limit_changed", Warning },
    { ServerRequestedBackOff, "server_asked_for_back_off", Warning },
    { ServerAnnouncedLeaving, "server_said_it_leaves", Information },
    { RolloutAdvanced, "rollout_advanced", Information },
    { RolloutRolledBack, "rollout_rolled_back", Warning },
    { ServiceReportsSlowness, "service_reports_slowness", Information },
    { ServerPaceKnown, "server_pace_known", Information },
    { ServiceContactChanged, "service_contact_changed", Warning },
    { BackendServerRemovalDeferred, "backend_server_removal_deferred", Information },
    { ServiceCallDispatched, "service_call_dispatched", Information },
    { ServiceCallEnded, "service_call_ended", Information },
    { ClaimRefused, "claim_refused", Warning },
    { CallRetried, "call_retried", Information },
    { CallerLeft, "caller_left", Information },
    { CallerConnectionClosed, "caller_connection_closed", Information },
    { RepeatDecided, "repeat_decided", Information },
    { RequestQuarantined, "request_held_back", Warning },
    { RequestReleased, "request_released", Information },
    { RequestForwarded, "request_forwarded", Information },
    { ForwardingEnded, "forwarding_ended", Information },
    { DispatchEnded, "dispatch_ended", Information },
    { ResponseSkipped, "response_skipped", Information },
    { QuarantineTrial, "quarantine_trial", Information },
    { LeaseTaken, "lease_taken", Information },
    { LeaseLapsed, "lease_lapsed", Warning },
    { OrderSent, "order_sent", Information },
    { OrderWithheld, "order_withheld", Warning },
    { ShortageBegan, "shortage_began", Warning },
    { ShortageEnded, "shortage_ended", Information },
    { GenerationWaits, "generation_waits", Information },
    { GenerationWaited, "generation_waited", Information },
    { ReturnRequested, "return_requested", Information },
    { CallerReturned, "caller_returned", Information },
});

std::span<EventDescription const> event_catalogue() { return catalogue; }

EventDescription const& describe(EventNumber number)
{
    auto found = std::ranges::find(catalogue, number, &EventDescription::number);
    VERIFY(found != catalogue.end());
    return *found;
}

}
